package org.verbenawheel.execution;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

/**
 * Estimates the clock of one incarnation of a worker from the readings that it sends, and tracks
 * until when this leader granted it a lease.
 *
 * <p>A lease ends at a time of the incarnation's own clock, so an order that arrives late extends
 * nothing beyond what was granted.
 */
final class WorkerClock {
  private final ExecutionTimings timings;
  private long lastReading;
  private Optional<Instant> readAt = Optional.empty();
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

  /** Returns whether any lease was granted. */
  boolean hasGranted() {
    return grantedUntil > 0;
  }

  /** Returns whether every granted lease has expired. */
  boolean hasEveryLeaseExpired(Instant now) {
    return !hasGranted()
        || estimate(now, timings.slowestClockRate())
            > grantedUntil + ExecutionTimings.LEASE_MARGIN.toMillis();
  }

  private long estimate(Instant now, double rate) {
    return readAt
        .map(at -> lastReading + (long) (Duration.between(at, now).toMillis() * rate))
        .orElse(0L);
  }
}
