package org.verbenawheel.replication;

import org.verbenawheel.request.RunVerdict;

/** Thrown when a command got no reply; its verdict says whether it may have been committed. */
public final class CommandNotCommittedException extends Exception {
  private static final long serialVersionUID = 1L;

  private final RunVerdict verdict;

  /**
   * Makes the exception.
   *
   * @param verdict {@link RunVerdict#NOT_RUN} if the command is not in the log and never will be
   * @param message what went wrong
   */
  public CommandNotCommittedException(RunVerdict verdict, String message) {
    super(message);
    this.verdict = verdict;
  }

  /** Returns whether the command may have been committed. */
  public RunVerdict verdict() {
    return verdict;
  }
}
