package org.verbenawheel.time;

import java.time.Instant;
import java.time.InstantSource;

/**
 * Provides instants that never go back: the wall clock at start plus the time elapsed since then.
 *
 * <p>Decisions take instants as arguments and compare them, so an adjustment of the wall clock must
 * not change these instants.
 */
public final class MonotonicInstantSource implements InstantSource {
  private final Instant wallClockAtStart;
  private final long nanosecondsAtStart;

  private MonotonicInstantSource(Instant wallClockAtStart, long nanosecondsAtStart) {
    this.wallClockAtStart = wallClockAtStart;
    this.nanosecondsAtStart = nanosecondsAtStart;
  }

  /** Returns a source whose instants start from the current wall clock. */
  public static MonotonicInstantSource startingNow() {
    return new MonotonicInstantSource(InstantSource.system().instant(), System.nanoTime());
  }

  @Override
  public Instant instant() {
    return wallClockAtStart.plusNanos(System.nanoTime() - nanosecondsAtStart);
  }
}
