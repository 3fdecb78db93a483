package org.verbenawheel.job;

/** How far a job is. */
public enum JobPhase {
  /** No task has started. */
  QUEUED(false),
  /** A task has started. */
  RUNNING(false),
  /** All tasks have ended well. */
  COMPLETED(true),
  /** A task has failed as often as its queue allows. */
  FAILED(true),
  /** The caller cancelled it. */
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
