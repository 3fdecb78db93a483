package org.verbenawheel.job;

/** The states of a job. */
public enum JobPhase {
  /** No task has been bound to a worker yet. */
  QUEUED(false),
  /** A task has been bound to a worker. */
  RUNNING(false),
  /** All tasks are done. */
  COMPLETED(true),
  /** A task has failed as many times as the queue's maximum of attempts. */
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
