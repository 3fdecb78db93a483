package org.verbenawheel.capacity;

import java.time.Duration;

/**
 * The parameters of the {@link CapacityPlanner}.
 *
 * @param reactionTime the time from the loss of a host until a spare has replaced it: the delay of
 *     the usage reports, powering on, and a move
 * @param holdTime the minimum time that a host stays powered or lent, which keeps fluctuating
 *     demand from moving it back and forth
 * @param reserveTime how long a pool may hold a reserve after the loss of a host: in this time
 *     another loss is more likely than usual
 * @param lenderMargin how many hosts beyond its need a serving pool keeps when it lends
 */
public record CapacitySettings(
    Duration reactionTime, Duration holdTime, Duration reserveTime, int lenderMargin) {
  /**
   * Six minutes to react, ten minutes of hold time, two hours of reserve, and a lender keeps one
   * host more than it needs.
   */
  public static final CapacitySettings DEFAULT =
      new CapacitySettings(Duration.ofMinutes(6), Duration.ofMinutes(10), Duration.ofHours(2), 1);
}
