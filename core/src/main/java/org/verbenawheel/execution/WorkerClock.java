package org.verbenawheel.execution;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

/**
 * Estimates a worker's clock from the readings that it sends, and tracks until when the worker
 * holds a lease.
 *
 * <p>A lease ends at a time of the worker's own clock, so an order that arrives late extends
 * nothing beyond what was granted.
 */
final class WorkerClock {
  private static final Duration LEASE_MARGIN = Duration.ofMillis(200);

  private final ExecutionTimings timings;
  private final Instant leadingSince;
  private long lastReading;
  private Optional<Instant> readAt = Optional.empty();
  private long grantedUntil;

  /**
   * Creates a clock without a reading.
   *
   * @param leadingSince since when no other leader can have granted a lease
   */
  WorkerClock(ExecutionTimings timings, Instant leadingSince) {
    this.timings = timings;
    this.leadingSince = leadingSince;
  }

  /** Records a reading that the worker sent, unless it is so low that it must have been delayed. */
  void onReading(long milliseconds, Instant now) {
    if (readAt.isEmpty() || milliseconds >= estimate(now, 1 - timings.clockTolerance())) {
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

  /**
   * Returns whether every lease that this or an earlier leader granted has expired, even if the
   * worker's clock is as slow as the tolerance allows.
   */
  boolean hasEveryLeaseExpired(Instant now) {
    double slowestRate = 1 - timings.clockTolerance();
    long earlierLeasesMilliseconds =
        (long) (timings.maximumLease().plus(LEASE_MARGIN).toMillis() / slowestRate);
    boolean earlierLeasesExpired =
        Duration.between(leadingSince, now).toMillis() > earlierLeasesMilliseconds;
    boolean ownLeasesExpired =
        grantedUntil == 0 || estimate(now, slowestRate) > grantedUntil + LEASE_MARGIN.toMillis();
    return earlierLeasesExpired && ownLeasesExpired;
  }

  private long estimate(Instant now, double rate) {
    return readAt
        .map(at -> lastReading + (long) (Duration.between(at, now).toMillis() * rate))
        .orElse(0L);
  }
}
