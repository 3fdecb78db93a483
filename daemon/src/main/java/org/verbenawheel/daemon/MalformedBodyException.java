package org.verbenawheel.daemon;

/** Thrown when an HTTP body is not the JSON expected. */
public final class MalformedBodyException extends Exception {
  private static final long serialVersionUID = 1L;

  private final String explanation;

  /**
   * Makes the exception.
   *
   * @param explanation what is wrong with the body
   */
  public MalformedBodyException(String explanation) {
    super(explanation);
    this.explanation = explanation;
  }

  /** Returns what is wrong with the body. */
  public String explanation() {
    return explanation;
  }
}
