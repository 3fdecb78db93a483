package org.verbenawheel.capacity;

import java.time.Duration;

/**
 * What the planning of capacity goes by.
 *
 * @param reactionTime how long it takes from a loss until a spare works in its place: the lag of
 *     usage, powering on and a move
 * @param holdTime how long a host stays powered or lent at least, so that demand which comes and
 *     goes does not move it back and forth
 * @param lenderMargin how many hosts beyond its need a serving pool keeps when it lends
 */
public record CapacitySettings(Duration reactionTime, Duration holdTime, int lenderMargin) {
  /** Six minutes to react, ten to hold, and a lender keeps one host more than it needs. */
  public static final CapacitySettings DEFAULT =
      new CapacitySettings(Duration.ofMinutes(6), Duration.ofMinutes(10), 1);
}
