package org.verbenawheel.platform;

import org.verbenawheel.request.RunVerdict;

/** Thrown when the platform gave no answer to use; its verdict says whether it may have acted. */
public final class PlatformException extends Exception {
  private static final long serialVersionUID = 1L;

  private final RunVerdict verdict;

  /**
   * Makes the exception.
   *
   * @param verdict {@link RunVerdict#NOT_RUN} if the platform did not act on the operation
   * @param message what went wrong and what to do about it
   */
  public PlatformException(RunVerdict verdict, String message) {
    super(message);
    this.verdict = verdict;
  }

  /** Returns whether the platform may have acted; either way the operation may be sent again. */
  public RunVerdict verdict() {
    return verdict;
  }
}
