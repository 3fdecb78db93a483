package org.verbenawheel.execution;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

/**
 * Estimates the clock of one incarnation of a worker from the readings that it sends, and tracks
 * until when that incarnation holds a lease.
 *
 * <p>A lease ends at a time of the incarnation's own clock, so an order that arrives late extends
 * nothing beyond what was granted.
 */
final class WorkerClock {
  /** An answer is not delayed for longer than its call waits. */
  private static final Duration LONGEST_DELAY = Duration.ofSeconds(2);

  private final ExecutionTimings timings;
  private long lastReading;
  private Optional<Instant> readAt = Optional.empty();
  private Optional<Instant> fencedAt = Optional.empty();
  private long grantedUntil;

  /** Creates a clock without a reading. */
  WorkerClock(ExecutionTimings timings) {
    this.timings = timings;
  }

  /** Records a reading that the worker sent, unless it is so low that it must have been delayed. */
  void onReading(long milliseconds, Instant now) {
    if (readAt.isEmpty() || milliseconds >= estimate(now, timings.slowestClockRate())) {
      lastReading = milliseconds;
      readAt = Optional.of(now);
    }
  }

  /** Returns whether a reading is so low that no delay explains it: another incarnation sent it. */
  boolean isOfAnotherIncarnation(long milliseconds, Instant now) {
    long lowest = estimate(now, timings.slowestClockRate()) - LONGEST_DELAY.toMillis();
    return readAt.isPresent() && milliseconds < lowest;
  }

  /**
   * Records that the incarnation confirmed a fencing token. From now on it refuses all calls of
   * earlier leaders, and all that were meant for earlier incarnations.
   */
  void onFenced(Instant now) {
    if (fencedAt.isEmpty()) {
      fencedAt = Optional.of(now);
    }
  }

  /**
   * Grants a lease that begins now and returns its end by the worker's clock, in milliseconds;
   * empty if the clock was never read.
   */
  Optional<Long> grant(Instant now) {
    if (readAt.isEmpty()) {
      return Optional.empty();
    }
    long end = estimate(now, 1) + timings.lease().toMillis();
    grantedUntil = Math.max(grantedUntil, end);
    return Optional.of(end);
  }

  /**
   * Returns whether every lease has expired that this incarnation may hold: those granted by this
   * clock, and those that it received before it confirmed a fencing token.
   */
  boolean hasEveryLeaseExpired(Instant now) {
    boolean earlierLeasesExpired =
        fencedAt.filter(at -> timings.hasLongestLeaseExpired(at, now)).isPresent();
    long marginMilliseconds = ExecutionTimings.LEASE_MARGIN.toMillis();
    boolean ownLeasesExpired =
        grantedUntil == 0
            || estimate(now, timings.slowestClockRate()) > grantedUntil + marginMilliseconds;
    return earlierLeasesExpired && ownLeasesExpired;
  }

  private long estimate(Instant now, double rate) {
    return readAt
        .map(at -> lastReading + (long) (Duration.between(at, now).toMillis() * rate))
        .orElse(0L);
  }
}
