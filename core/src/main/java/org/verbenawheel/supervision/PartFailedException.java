package org.verbenawheel.supervision;

/** Thrown or reported when a supervised part cannot start or cannot go on. */
public final class PartFailedException extends Exception {
  private static final long serialVersionUID = 1L;

  /**
   * Makes the exception.
   *
   * @param message which part failed, why, and what to try
   */
  public PartFailedException(String message) {
    super(message);
  }

  /**
   * Makes the exception.
   *
   * @param message which part failed, why, and what to try
   * @param cause what failed underneath
   */
  public PartFailedException(String message, Throwable cause) {
    super(message, cause);
  }
}
