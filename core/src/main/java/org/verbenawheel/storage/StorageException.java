package org.verbenawheel.storage;

/**
 * Thrown when the data folder cannot be read or written. The message tells the operator what to do.
 */
public class StorageException extends Exception {
  private static final long serialVersionUID = 1L;

  /**
   * Creates an exception without an underlying I/O error.
   *
   * @param message the file, what went wrong, and what to do
   */
  public StorageException(String message) {
    super(message);
  }

  /**
   * Creates an exception for an I/O error.
   *
   * @param message the file, what went wrong, and what to do
   * @param cause the error that the operating system reported
   */
  public StorageException(String message, Throwable cause) {
    super(message, cause);
  }
}
