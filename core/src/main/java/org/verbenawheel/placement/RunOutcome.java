package org.verbenawheel.placement;

/** How a run of a job ended. */
public enum RunOutcome {
  /** The job is done. */
  DONE(false),
  /** The job failed on its worker. */
  FAILED(true),
  /** The job was checkpointed and stopped to free resources for an urgent one. */
  CHECKPOINTED(true),
  /** The worker did not report before the lease expired; it has stopped the job on its own. */
  LEASE_EXPIRED(true),
  /** The job was cancelled. */
  CANCELLED(false);

  private final boolean runsAgain;

  RunOutcome(boolean runsAgain) {
    this.runsAgain = runsAgain;
  }

  /** Returns whether the job is queued for another run. */
  public boolean runsAgain() {
    return runsAgain;
  }
}
