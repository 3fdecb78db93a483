package org.verbenawheel.storage;

/** Thrown when the data folder cannot be read or written; its message says what to do. */
public class StorageException extends Exception {
  private static final long serialVersionUID = 1L;

  /**
   * Makes the exception.
   *
   * @param message which file, what went wrong, and what to do
   */
  public StorageException(String message) {
    super(message);
  }

  /**
   * Makes the exception.
   *
   * @param message which file, what went wrong, and what to do
   * @param cause what the operating system said
   */
  public StorageException(String message, Throwable cause) {
    super(message, cause);
  }
}
