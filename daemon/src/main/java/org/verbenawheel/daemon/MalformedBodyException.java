package org.verbenawheel.daemon;

/**
 * Thrown when an HTTP body is not the JSON expected; its message tells the sender what is wrong.
 */
public final class MalformedBodyException extends Exception {
  private static final long serialVersionUID = 1L;

  /**
   * Makes the exception.
   *
   * @param message what is wrong with the body
   */
  public MalformedBodyException(String message) {
    super(message);
  }
}
