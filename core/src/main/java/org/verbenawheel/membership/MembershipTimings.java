package org.verbenawheel.membership;

import static com.google.common.base.Preconditions.checkArgument;

import java.time.Duration;

/**
 * How leases and heartbeats are timed, and the proof in numbers that a leaving endpoint gets no new
 * work after {@link #LEAVE_BOUND}.
 *
 * <p>Whatever is cut, an endpoint that said it leaves renews no more. Its home entry drops it
 * within {@code lease}; every other entry trusts a word of the home entry for at most {@code
 * vouch}; and each looks at its clock every {@code tick}. The sum must stay below the bound.
 *
 * @param lease how long an endpoint stays without a renewal, from the moment its home entry issued
 *     the token that the renewal brought back
 * @param vouch how long an entry trusts what another said of its endpoints, from the moment it sent
 *     the stamp that the other's word echoed
 * @param heartbeat how often each entry tells the others its version and digest
 * @param tick how often an entry looks for what ended
 * @param forward how long an entry waits for the home entry that it passes a renewal to
 */
public record MembershipTimings(
    Duration lease, Duration vouch, Duration heartbeat, Duration tick, Duration forward) {
  /** When a leaving endpoint gets no new work anywhere, counted from its word. */
  public static final Duration LEAVE_BOUND = Duration.ofSeconds(3);

  /** The timings that entries use unless their settings say otherwise. */
  public static final MembershipTimings DEFAULT =
      new MembershipTimings(
          Duration.ofMillis(1200),
          Duration.ofMillis(1700),
          Duration.ofMillis(200),
          Duration.ofMillis(50),
          Duration.ofMillis(150));

  /** An endpoint renews this many times within a lease. */
  static final int RENEWALS_PER_LEASE = 3;

  /** A word of another entry may be this many heartbeats old when it arrives. */
  private static final int HEARTBEATS_PER_ECHO = 2;

  /**
   * Checks the timings.
   *
   * @throws IllegalArgumentException if a leaving endpoint could get work after the bound, or if an
   *     endpoint whose home entry died could not move in time
   */
  public MembershipTimings {
    Duration worstLeave = worstLeave(lease, vouch, tick);
    checkArgument(
        worstLeave.compareTo(LEAVE_BOUND) < 0,
        "lease, vouch and tick together must stay below %s but are %s",
        LEAVE_BOUND,
        worstLeave);
    Duration worstMove = worstMove(lease, heartbeat, tick, forward);
    checkArgument(
        worstMove.compareTo(vouch) < 0,
        "an endpoint needs up to %s to move to another entry, so vouch must be longer than %s",
        worstMove,
        vouch);
  }

  /** Returns the longest time from an endpoint's word to the last new work, by these timings. */
  public Duration worstLeave() {
    return worstLeave(lease, vouch, tick);
  }

  /** Returns how long an endpoint may wait for its home entry before it must try another. */
  public Duration endpointPatience() {
    return vouch.minus(worstMove(lease, heartbeat, tick, forward));
  }

  /** Returns how long after a renewal the next is due. */
  static Duration renewalInterval(Duration lease) {
    return lease.dividedBy(RENEWALS_PER_LEASE);
  }

  private static Duration worstLeave(Duration lease, Duration vouch, Duration tick) {
    return lease.plus(vouch).plus(tick);
  }

  /**
   * Returns how much of the vouch passes before an endpoint's new home entry is known everywhere.
   */
  private static Duration worstMove(
      Duration lease, Duration heartbeat, Duration tick, Duration forward) {
    return heartbeat
        .multipliedBy(HEARTBEATS_PER_ECHO)
        .plus(renewalInterval(lease))
        .plus(forward)
        .plus(tick.multipliedBy(2));
  }
}
