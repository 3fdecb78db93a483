package org.verbenawheel.storage;

/**
 * Thrown when the operating system refuses to read or write the data folder. It may pass, for
 * example once a full disk has room again. What a failed write left on the disk is unknown, so the
 * folder must be opened and read again.
 */
public final class DiskFailureException extends StorageException {
  private static final long serialVersionUID = 1L;

  /**
   * Creates an exception.
   *
   * @param message the file, what went wrong, and what to do
   */
  public DiskFailureException(String message) {
    super(message);
  }

  /**
   * Creates an exception for an I/O error.
   *
   * @param message the file, what went wrong, and what to do
   * @param cause the error that the operating system reported
   */
  public DiskFailureException(String message, Throwable cause) {
    super(message, cause);
  }
}
