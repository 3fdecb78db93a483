package org.verbenawheel.supervision;

/** Thrown when a supervised part cannot start; reported when it fails while it runs. */
public final class PartFailedException extends Exception {
  private static final long serialVersionUID = 1L;

  /**
   * Creates an exception without an underlying error.
   *
   * @param message which part failed, why, and what the operator can try
   */
  public PartFailedException(String message) {
    super(message);
  }

  /**
   * Creates an exception for an underlying error.
   *
   * @param message which part failed, why, and what the operator can try
   * @param cause the underlying error
   */
  public PartFailedException(String message, Throwable cause) {
    super(message, cause);
  }
}
