package org.verbenawheel.job;

/** How one run of a task ended. */
public enum RunEnding {
  /** The task completed its work. */
  DONE,
  /** The task failed, whether the task or the worker caused it. */
  FAILED,
  /** The control process ordered the worker to stop the task. */
  STOPPED,
  /** The worker's lease expired, or the worker itself ended. */
  LAPSED,
  /** Another member of the gang ended, which ends the whole gang's run. */
  BROKEN,
  /** The other members of the gang did not start in time. */
  ALONE,
  /** The worker never started the run, and never will. */
  NOT_STARTED;

  /** Returns whether the run counts towards the queue's maximum of attempts. */
  public boolean countsAsAttempt() {
    return this == FAILED;
  }
}
