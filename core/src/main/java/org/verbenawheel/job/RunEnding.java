package org.verbenawheel.job;

/** How one run of a task ended. */
public enum RunEnding {
  /** The task did its work. */
  DONE,
  /** The task failed, by its own fault or the worker's. */
  FAILED,
  /** The task was stopped on order. */
  STOPPED,
  /** The worker's lease ended, or the worker did. */
  LAPSED,
  /** Another member of the gang ended. */
  BROKEN,
  /** The other members of the gang did not come in time. */
  ALONE,
  /** The worker never started the run, and never will. */
  NOT_STARTED;

  /** Returns whether the run counts towards the attempts that a queue allows. */
  public boolean countsAsAttempt() {
    return this == FAILED;
  }
}
