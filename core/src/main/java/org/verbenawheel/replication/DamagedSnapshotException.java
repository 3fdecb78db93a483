package org.verbenawheel.replication;

/** Thrown when a snapshot cannot be read; the message says which part and what operators can do. */
public final class DamagedSnapshotException extends Exception {
  private static final long serialVersionUID = 1L;

  /**
   * Creates the exception.
   *
   * @param message what cannot be read and what operators can do
   * @param cause the decoding error
   */
  public DamagedSnapshotException(String message, Throwable cause) {
    super(message, cause);
  }
}
