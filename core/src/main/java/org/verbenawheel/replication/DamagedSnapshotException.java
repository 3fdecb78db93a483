package org.verbenawheel.replication;

/** Thrown when a snapshot cannot be read; its message says which and what an operator can do. */
public final class DamagedSnapshotException extends Exception {
  private static final long serialVersionUID = 1L;

  /**
   * Makes the exception.
   *
   * @param message what was wrong
   * @param cause what reading it said
   */
  public DamagedSnapshotException(String message, Throwable cause) {
    super(message, cause);
  }
}
