package org.verbenawheel.daemon;

/** Thrown when an HTTP body is not JSON or does not fit the expected record. */
public final class MalformedBodyException extends Exception {
  private static final long serialVersionUID = 1L;

  private final String explanation;

  /**
   * Creates the exception.
   *
   * @param explanation what is wrong with the body, for the one who sent it
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
