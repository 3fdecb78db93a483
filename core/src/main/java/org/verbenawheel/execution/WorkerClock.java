package org.verbenawheel.execution;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

/**
 * Knows what a worker's clock shows at least, and until when the worker holds a lease.
 *
 * <p>A lease ends at a moment of the worker's own clock, so an order that arrives late extends
 * nothing beyond what was granted.
 */
final class WorkerClock {
  private static final Duration MARGIN = Duration.ofMillis(200);

  private final ExecutionTimings timings;
  private final Instant firstHeld;
  private long reading;
  private Optional<Instant> readAt = Optional.empty();
  private long grantedUntil;

  /**
   * Makes a clock that was never read.
   *
   * @param firstHeld since when no other leader can have granted a lease
   */
  WorkerClock(ExecutionTimings timings, Instant firstHeld) {
    this.timings = timings;
    this.firstHeld = firstHeld;
  }

  /** Takes a reading that the worker sent. */
  void onReading(long milliseconds, Instant now) {
    if (readAt.isEmpty() || milliseconds >= shows(now, 1 - timings.clockTolerance())) {
      reading = milliseconds;
      readAt = Optional.of(now);
    }
  }

  /** Returns the end of a lease that begins now, and notes that it is granted. */
  Optional<Long> grant(Instant now) {
    if (readAt.isEmpty()) {
      return Optional.empty();
    }
    long end = shows(now, 1) + timings.lease().toMillis();
    grantedUntil = Math.max(grantedUntil, end);
    return Optional.of(end);
  }

  /** Returns whether every lease that any leader granted is over for certain. */
  boolean isEveryLeaseOver(Instant now) {
    double slowest = 1 - timings.clockTolerance();
    long olderLeases = (long) (timings.maximumLease().plus(MARGIN).toMillis() / slowest);
    boolean olderOver = Duration.between(firstHeld, now).toMillis() > olderLeases;
    boolean ownOver = grantedUntil == 0 || shows(now, slowest) > grantedUntil + MARGIN.toMillis();
    return olderOver && ownOver;
  }

  private long shows(Instant now, double rate) {
    return readAt
        .map(at -> reading + (long) (Duration.between(at, now).toMillis() * rate))
        .orElse(0L);
  }
}
