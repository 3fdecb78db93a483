package org.verbenawheel.membership;

import static com.google.common.base.Preconditions.checkArgument;

import java.time.Duration;

/**
 * The durations of leases, heartbeats and timeouts, with the check that they guarantee that a
 * leaving endpoint gets no new work after {@link #LEAVE_BOUND}.
 *
 * <p>An endpoint that announced its departure renews no more, whichever links are cut. Its home
 * entry, the one that holds its lease, drops it within {@code lease}; every other entry trusts a
 * confirmation by the home entry for at most {@code trustTimeout}; and each entry checks for expiry
 * every {@code tickInterval}. The sum must stay below the bound.
 *
 * @param lease how long an endpoint stays without a renewal, counted from when its home entry
 *     issued the token that the last renewal returned
 * @param trustTimeout how long an entry trusts another entry's confirmation of its endpoints,
 *     counted from when it sent the stamp that the confirmation echoed
 * @param heartbeatInterval how often each entry sends the others its version and digest
 * @param tickInterval how often an entry checks for expired leases and copies
 * @param forwardTimeout how long an entry waits for the home entry to which it forwards a renewal
 */
public record MembershipTimings(
    Duration lease,
    Duration trustTimeout,
    Duration heartbeatInterval,
    Duration tickInterval,
    Duration forwardTimeout) {
  /** A leaving endpoint gets no new work from any entry this long after it announced that. */
  public static final Duration LEAVE_BOUND = Duration.ofSeconds(3);

  /** The timings that entries use unless the builder sets others. */
  public static final MembershipTimings DEFAULT =
      new MembershipTimings(
          Duration.ofMillis(1200),
          Duration.ofMillis(1700),
          Duration.ofMillis(200),
          Duration.ofMillis(50),
          Duration.ofMillis(150));

  /** The number of renewals by an endpoint within the duration of a lease. */
  static final int RENEWALS_PER_LEASE = 3;

  /** A confirmation may be this many heartbeat intervals old when it arrives. */
  private static final int HEARTBEATS_PER_ECHO = 2;

  /**
   * Checks the timings.
   *
   * @throws IllegalArgumentException if a leaving endpoint could get work after the bound, or if an
   *     endpoint whose home entry died could not move in time
   */
  public MembershipTimings {
    Duration worstLeave = worstCaseLeave(lease, trustTimeout, tickInterval);
    checkArgument(
        worstLeave.compareTo(LEAVE_BOUND) < 0,
        "lease + trustTimeout + tickInterval must stay below %s but are %s",
        LEAVE_BOUND,
        worstLeave);
    Duration worstMove = worstCaseMove(lease, heartbeatInterval, tickInterval, forwardTimeout);
    checkArgument(
        worstMove.compareTo(trustTimeout) < 0,
        "trustTimeout must exceed the %s that a move to another entry can take, but is %s",
        worstMove,
        trustTimeout);
  }

  /**
   * Returns the longest time from when an endpoint announces its departure to its last new work.
   */
  public Duration worstCaseLeave() {
    return worstCaseLeave(lease, trustTimeout, tickInterval);
  }

  /**
   * Returns how long an endpoint may wait for a reply from its home entry: if it waits longer
   * before it tries another entry, it may expire from the views.
   */
  public Duration maximumEndpointWait() {
    return trustTimeout.minus(
        worstCaseMove(lease, heartbeatInterval, tickInterval, forwardTimeout));
  }

  /** Returns the time between two renewals of a lease. */
  static Duration renewalInterval(Duration lease) {
    return lease.dividedBy(RENEWALS_PER_LEASE);
  }

  private static Duration worstCaseLeave(
      Duration lease, Duration trustTimeout, Duration tickInterval) {
    return lease.plus(trustTimeout).plus(tickInterval);
  }

  /**
   * Returns how much of the trust timeout may pass before every entry knows an endpoint's new home
   * entry.
   */
  private static Duration worstCaseMove(
      Duration lease, Duration heartbeatInterval, Duration tickInterval, Duration forwardTimeout) {
    return heartbeatInterval
        .multipliedBy(HEARTBEATS_PER_ECHO)
        .plus(renewalInterval(lease))
        .plus(forwardTimeout)
        .plus(tickInterval.multipliedBy(2));
  }
}
