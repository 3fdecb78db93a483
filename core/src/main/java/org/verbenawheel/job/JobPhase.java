package org.verbenawheel.job;

/** The states of a job. */
public enum JobPhase {
  /** No task has been bound to a worker yet. */
  QUEUED(false),
  /** A task has been bound to a worker at least once; it may be waiting again. */
  RUNNING(false),
  /** All tasks are done. */
  COMPLETED(true),
  /** A task, or a gang as a whole, has failed as often as the queue's maximum of attempts. */
  FAILED(true),
  /** The caller cancelled the job. */
  CANCELLED(true);

  private final boolean terminal;

  JobPhase(boolean terminal) {
    this.terminal = terminal;
  }

  /** Returns whether no further task of the job may start. */
  public boolean isTerminal() {
    return terminal;
  }
}
