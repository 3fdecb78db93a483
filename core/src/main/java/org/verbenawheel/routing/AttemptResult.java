package org.verbenawheel.routing;

/** Says what the end of an attempt tells about its endpoint and about its route. */
public enum AttemptResult {
  /** The slot was never used. */
  UNUSED(false, false),
  /** The endpoint gave its whole answer. */
  ANSWERED(false, true),
  /** The endpoint gave its whole answer, which was an error of the service's own. */
  SERVICE_ERROR(true, false),
  /** The attempt ended without a whole answer. */
  FAILED(true, false),
  /** The whole answer came after the deadline, when nobody waited for it any more. */
  ANSWERED_LATE(false, true);

  private final boolean failure;
  private final boolean teachesRunTime;

  AttemptResult(boolean failure, boolean teachesRunTime) {
    this.failure = failure;
    this.teachesRunTime = teachesRunTime;
  }

  /** Returns whether the endpoint failed the attempt. */
  public boolean isFailure() {
    return failure;
  }

  /** Returns whether the time that the attempt took is a run time of its route. */
  public boolean teachesRunTime() {
    return teachesRunTime;
  }
}
