package org.verbenawheel.questionnaire;

/**
 * A team's answers about its network: the one-way latencies.
 *
 * @param betweenZonesMilliseconds from one availability zone to another
 * @param toCallersMilliseconds from the entry hosts to the callers
 */
public record NetworkAnswers(double betweenZonesMilliseconds, double toCallersMilliseconds) {
  /**
   * The entry to the home of the slots, the entry process that grants them; and to the endpoint.
   */
  private static final int HOPS_PER_REQUEST = 2;

  /** The entry to the leader of the control replicas, and the leader to its quorum. */
  private static final int HOPS_PER_CLAIM = 2;

  /** Returns the network round-trip time between caller and entry. */
  double callerRoundTripMilliseconds() {
    return 2 * toCallersMilliseconds;
  }

  /**
   * Returns the network round-trip time of one request between the hosts of the system.
   *
   * @param runningTwice if harmful, the request is claimed first, which takes more hops
   */
  double internalRoundTripMilliseconds(RunningTwice runningTwice) {
    int hops =
        runningTwice == RunningTwice.HARMFUL ? HOPS_PER_REQUEST + HOPS_PER_CLAIM : HOPS_PER_REQUEST;
    return 2 * hops * betweenZonesMilliseconds;
  }
}
