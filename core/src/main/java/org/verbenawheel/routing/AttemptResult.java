package org.verbenawheel.routing;

/**
 * How an attempt ended, and what the dispatcher learns from it: whether the endpoint failed, and
 * whether the duration is a run time of the route.
 */
public enum AttemptResult {
  /** The slot was never used. */
  UNUSED(false, false),
  /** The endpoint sent a complete answer in time. */
  ANSWERED(false, true),
  /** The endpoint sent a complete answer with an error status of the service itself. */
  SERVICE_ERROR(true, false),
  /** The attempt ended without a complete answer. */
  FAILED(true, false),
  /** The complete answer arrived after the deadline or after the caller hung up. */
  ANSWERED_LATE(false, true);

  private final boolean failure;
  private final boolean runTimeSample;

  AttemptResult(boolean failure, boolean runTimeSample) {
    this.failure = failure;
    this.runTimeSample = runTimeSample;
  }

  /** Returns whether the result counts as a failure of the endpoint. */
  public boolean isFailure() {
    return failure;
  }

  /** Returns whether the duration of the attempt is a valid sample of its route's run time. */
  public boolean isRunTimeSample() {
    return runTimeSample;
  }
}
