package org.verbenawheel.wire;

import java.time.Duration;
import java.util.SplittableRandom;

/**
 * Decides how long to wait before the next attempt to connect: doubling up to a limit, with jitter
 * drawn from a seed so that peers spread out and a run can be repeated.
 */
final class Backoff {
  private static final int MAXIMUM_DOUBLINGS = 20;

  private final Duration first;
  private final Duration longest;
  private final SplittableRandom random;
  private int failures;

  Backoff(Duration first, Duration longest, long seed) {
    this.first = first;
    this.longest = longest;
    this.random = new SplittableRandom(seed);
  }

  /** Returns the wait after one more failure: between half and all of the doubled wait. */
  Duration afterFailure() {
    long doubled = first.toNanos() << Math.min(failures, MAXIMUM_DOUBLINGS);
    long wait = Math.min(doubled, longest.toNanos());
    failures++;
    return Duration.ofNanos(wait / 2 + random.nextLong(wait / 2 + 1));
  }

  /** Forgets the failures: a connection stood. */
  void reset() {
    failures = 0;
  }
}
