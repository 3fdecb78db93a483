package org.verbenawheel.capacity;

import java.time.Duration;

/**
 * What the planning of capacity goes by.
 *
 * @param reactionTime how long it takes from a loss until a spare works in its place: the lag of
 *     usage, powering on and a move
 * @param holdTime how long a host stays powered or lent at least, so that demand which comes and
 *     goes does not move it back and forth
 * @param watchTime how long after the loss of a host another loss is more likely than at other
 *     times
 * @param lenderMargin how many hosts beyond its need a serving pool keeps when it lends
 */
public record CapacitySettings(
    Duration reactionTime, Duration holdTime, Duration watchTime, int lenderMargin) {
  /**
   * Six minutes to react, ten to hold, two hours of watch, and a lender keeps one host more than it
   * needs.
   */
  public static final CapacitySettings DEFAULT =
      new CapacitySettings(Duration.ofMinutes(6), Duration.ofMinutes(10), Duration.ofHours(2), 1);
}
