package org.verbenawheel.wire;

import java.time.Duration;
import java.util.SplittableRandom;

/**
 * Computes the wait before the next connection attempt: exponential backoff up to a limit, with
 * jitter so that peers do not reconnect at the same time. The jitter is seeded so that a run can be
 * repeated.
 */
final class Backoff {
  private static final int MAXIMUM_DOUBLINGS = 20;

  private final Duration initialWait;
  private final Duration maximumWait;
  private final SplittableRandom random;
  private int failures;

  Backoff(Duration initialWait, Duration maximumWait, long seed) {
    this.initialWait = initialWait;
    this.maximumWait = maximumWait;
    this.random = new SplittableRandom(seed);
  }

  /**
   * Counts one more failure and returns the wait before the next attempt: a random 50 to 100
   * percent of the full wait, which doubles with each failure up to the maximum.
   */
  Duration nextWait() {
    long doubled = initialWait.toNanos() << Math.min(failures, MAXIMUM_DOUBLINGS);
    long fullWait = Math.min(doubled, maximumWait.toNanos());
    failures++;
    return Duration.ofNanos(fullWait / 2 + random.nextLong(fullWait / 2 + 1));
  }

  /** Restarts from the initial wait. Called when a connection was established. */
  void reset() {
    failures = 0;
  }
}
