package org.verbenawheel.platform;

import org.verbenawheel.request.RunVerdict;

/**
 * Thrown if the platform returned no usable answer; the verdict tells whether it may have acted.
 */
public final class PlatformException extends Exception {
  private static final long serialVersionUID = 1L;

  private final RunVerdict verdict;

  /**
   * Creates the exception.
   *
   * @param verdict {@link RunVerdict#NOT_RUN} if the platform did not act on the operation
   * @param message what went wrong and what the operator can do
   */
  public PlatformException(RunVerdict verdict, String message) {
    super(message);
    this.verdict = verdict;
  }

  /** Returns whether the platform may have acted; in both cases the operation may be sent again. */
  public RunVerdict verdict() {
    return verdict;
  }
}
