package org.verbenawheel.questionnaire;

/**
 * What a team says of its network, one way.
 *
 * @param betweenZonesMilliseconds from one availability zone to another
 * @param toCallersMilliseconds from the entry hosts to the callers
 */
public record NetworkAnswers(double betweenZonesMilliseconds, double toCallersMilliseconds) {
  /** Entry to the slots' home, and entry to the endpoint. */
  private static final int HOPS_OF_A_REQUEST = 2;

  /** Entry to the leader of the control replicas, and leader to its quorum. */
  private static final int HOPS_OF_A_CLAIM = 2;

  /** Returns the time on the wire between caller and entry, there and back. */
  double callerRoundTripMilliseconds() {
    return 2 * toCallersMilliseconds;
  }

  /**
   * Returns the time on the wire between the system's hosts for one request, there and back.
   *
   * @param runningTwice whether the request is claimed first
   */
  double insideRoundTripMilliseconds(RunningTwice runningTwice) {
    int hops =
        runningTwice == RunningTwice.HARMFUL
            ? HOPS_OF_A_REQUEST + HOPS_OF_A_CLAIM
            : HOPS_OF_A_REQUEST;
    return 2 * hops * betweenZonesMilliseconds;
  }
}
