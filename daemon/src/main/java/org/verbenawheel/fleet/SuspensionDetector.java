package org.verbenawheel.fleet;

import java.time.Duration;
import java.time.InstantSource;
import java.util.function.LongSupplier;

/**
 * Notices that the process may have been suspended: then the time of day went on and the steady
 * clock, by which leases are judged, stood still. A step of the time of day looks the same, so the
 * caller should ask a quorum rather than stop. Not thread-safe.
 */
final class SuspensionDetector {
  private static final Duration TOLERANCE = Duration.ofMillis(250);

  private final InstantSource steady;
  private final LongSupplier timeOfDayMilliseconds;
  private long lastDifference;

  SuspensionDetector(InstantSource steady, LongSupplier timeOfDayMilliseconds) {
    this.steady = steady;
    this.timeOfDayMilliseconds = timeOfDayMilliseconds;
    this.lastDifference = difference();
  }

  /** Returns whether the clocks parted since the last call. */
  boolean mayHaveBeenSuspended() {
    long present = difference();
    boolean parted = Math.abs(present - lastDifference) > TOLERANCE.toMillis();
    lastDifference = present;
    return parted;
  }

  private long difference() {
    return timeOfDayMilliseconds.getAsLong() - steady.instant().toEpochMilli();
  }
}
