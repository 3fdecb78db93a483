package org.verbenawheel.execution;

import java.time.Instant;
import java.util.Optional;

/**
 * Tracks the leases of one worker during one leadership, to tell when the runs of a worker that
 * cannot be reached have ended. Confined to the state thread.
 *
 * <p>A call reaches only the incarnation that it names, and its lease ends at a time of that
 * incarnation's clock, so a call that arrives late extends nothing beyond what was granted.
 */
final class WorkerLeases {
  private final ExecutionTimings timings;

  /** The clock of the known incarnation. */
  private WorkerClock clock;

  /** Until when others granted leases: earlier leaders, or this one to an earlier incarnation. */
  private Instant othersGrantedUntil;

  /**
   * Creates a record without leases.
   *
   * @param timings the lengths of leases, and the tolerance of the worker's clock
   * @param leadingSince until when earlier leaders may have granted leases
   */
  WorkerLeases(ExecutionTimings timings, Instant leadingSince) {
    this.timings = timings;
    this.clock = new WorkerClock(timings);
    this.othersGrantedUntil = leadingSince;
  }

  /**
   * Begins to count by the clock of another incarnation. Only its report may have been seen, which
   * does not prove that the earlier one has ended.
   */
  void onNewIncarnation(Instant now) {
    if (clock.hasGranted()) {
      othersGrantedUntil = now;
    }
    clock = new WorkerClock(timings);
  }

  /** Records a reading that the known incarnation sent. */
  void onReading(long milliseconds, Instant now) {
    clock.onReading(milliseconds, now);
  }

  /**
   * Grants a lease that begins now and returns its end by the worker's clock, in milliseconds;
   * empty while that clock is unknown.
   */
  Optional<Long> grant(Instant now) {
    return clock.grant(now);
  }

  /** Returns whether every lease of the worker has expired, so that its runs have ended. */
  boolean haveAllExpired(Instant now) {
    return timings.hasLongestLeaseExpired(othersGrantedUntil, now)
        && clock.hasEveryLeaseExpired(now);
  }
}
