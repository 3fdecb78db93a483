package org.verbenawheel.codec;

/** Thrown when bytes from a peer or a file cannot be decoded to a message of a known kind. */
public final class MalformedMessageException extends Exception {
  private static final long serialVersionUID = 1L;

  /**
   * Creates an exception for a fault that this system's own checks found.
   *
   * @param message what was wrong with the bytes
   */
  public MalformedMessageException(String message) {
    super(message);
  }

  /**
   * Creates an exception for an error of the decoder.
   *
   * @param message what was wrong with the bytes
   * @param cause the decoder's error
   */
  public MalformedMessageException(String message, Throwable cause) {
    super(message, cause);
  }
}
