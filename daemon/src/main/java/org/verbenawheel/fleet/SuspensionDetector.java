package org.verbenawheel.fleet;

import java.time.Duration;
import java.time.InstantSource;
import java.util.function.LongSupplier;

/**
 * Detects that the process may have been suspended. During a suspension the wall clock advances
 * while the monotonic clock, which leases are measured with, stands still. A step of the wall clock
 * looks the same, so the caller should have a quorum confirm its leadership rather than stop. Not
 * thread-safe.
 */
final class SuspensionDetector {
  /** Smaller changes of the offset between the clocks are ignored. */
  private static final Duration TOLERANCE = Duration.ofMillis(250);

  private final InstantSource monotonicClock;
  private final LongSupplier wallClockMilliseconds;
  private long lastOffsetMilliseconds;

  SuspensionDetector(InstantSource monotonicClock, LongSupplier wallClockMilliseconds) {
    this.monotonicClock = monotonicClock;
    this.wallClockMilliseconds = wallClockMilliseconds;
    this.lastOffsetMilliseconds = offsetMilliseconds();
  }

  /** Returns whether the clocks diverged by more than the tolerance since the last call. */
  boolean mayHaveBeenSuspended() {
    long offset = offsetMilliseconds();
    boolean diverged = Math.abs(offset - lastOffsetMilliseconds) > TOLERANCE.toMillis();
    lastOffsetMilliseconds = offset;
    return diverged;
  }

  private long offsetMilliseconds() {
    return wallClockMilliseconds.getAsLong() - monotonicClock.instant().toEpochMilli();
  }
}
