package org.verbenawheel.replication;

import org.verbenawheel.request.RunVerdict;

/** Thrown when a command gets no reply; the verdict is whether it may have been committed. */
public class CommandNotCommittedException extends Exception {
  private static final long serialVersionUID = 1L;

  private final RunVerdict verdict;

  /**
   * Creates the exception.
   *
   * @param verdict {@link RunVerdict#NOT_RUN} if the command is not in the log and never will be
   * @param message why there is no reply
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
