package org.verbenawheel.execution;

import java.time.Duration;
import java.time.Instant;

/**
 * Intervals and timeouts of the leader's orders to workers.
 *
 * @param lease how long a run may work without contact to the leader
 * @param maximumLease the longest lease that a worker accepts from any leader
 * @param clockTolerance the share by which a worker's clock may be slow, such as 0.02
 * @param longPoll how long a worker may wait for an end before it answers a poll
 * @param pollPause how long the leader waits after an answered poll, to gather ends, before it
 *     polls again
 * @param pollRetry how long the leader waits after the first failed poll or a failed start
 * @param longestPollRetry how long the leader waits at the most before it polls a worker again that
 *     nothing is bound to and whose state is unknown
 * @param stopRetry how long the leader waits before it repeats a stop order
 * @param contactTimeout how long a worker may be silent before it gets no new tasks
 * @param forgetAfter how long a worker may be silent before it is forgotten
 */
public record ExecutionTimings(
    Duration lease,
    Duration maximumLease,
    double clockTolerance,
    Duration longPoll,
    Duration pollPause,
    Duration pollRetry,
    Duration longestPollRetry,
    Duration stopRetry,
    Duration contactTimeout,
    Duration forgetAfter) {

  /** Covers the rounding of times and the delay between the end of a lease and that of its runs. */
  static final Duration LEASE_MARGIN = Duration.ofMillis(200);

  /**
   * Returns whether a lease of any length has expired, even if the worker's clock is as slow as the
   * tolerance allows.
   *
   * @param receivedAt when the worker received it at the latest
   * @param now the current time
   */
  boolean hasLongestLeaseExpired(Instant receivedAt, Instant now) {
    double longestMilliseconds = maximumLease.plus(LEASE_MARGIN).toMillis() / slowestClockRate();
    return Duration.between(receivedAt, now).toMillis() > longestMilliseconds;
  }

  /** Returns how fast the slowest clock of a worker runs, compared with the leader's. */
  double slowestClockRate() {
    return 1 - clockTolerance;
  }
}
