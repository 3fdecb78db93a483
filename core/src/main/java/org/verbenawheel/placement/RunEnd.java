package org.verbenawheel.placement;

/** Says how a job's run ended. */
public enum RunEnd {
  /** The job is done. */
  DONE(false),
  /** The job failed on its worker. */
  FAILED(true),
  /** The job was checkpointed and stopped for an urgent one. */
  CHECKPOINTED(true),
  /** The worker did not report before the lease ended; it has stopped the job by itself. */
  LEASE_EXPIRED(true),
  /** The job was cancelled. */
  CANCELLED(false);

  private final boolean runsAgain;

  RunEnd(boolean runsAgain) {
    this.runsAgain = runsAgain;
  }

  /** Returns whether the job waits for another run. */
  public boolean runsAgain() {
    return runsAgain;
  }
}
