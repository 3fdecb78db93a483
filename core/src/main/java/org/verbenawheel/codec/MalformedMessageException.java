package org.verbenawheel.codec;

/** Thrown when bytes from a peer or a file are not a message of a known kind. */
public final class MalformedMessageException extends Exception {
  private static final long serialVersionUID = 1L;

  /**
   * Makes the exception.
   *
   * @param message what was wrong with the bytes
   */
  public MalformedMessageException(String message) {
    super(message);
  }

  /**
   * Makes the exception.
   *
   * @param message what was wrong with the bytes
   * @param cause what the codec said
   */
  public MalformedMessageException(String message, Throwable cause) {
    super(message, cause);
  }
}
