package org.verbenawheel.admission;

import java.time.Duration;

/**
 * Estimates how long a new ticket would wait, so that one that cannot meet its deadline is refused
 * at once and not after a wait in vain.
 */
public final class WaitEstimate {
  private WaitEstimate() {}

  /**
   * Returns the expected wait: the work ahead, shared by the slots that do it.
   *
   * @param ticketsAhead how many tickets are granted first
   * @param meanRunTime the mean run time of that work
   * @param slots how many slots do such work
   */
  public static Duration of(int ticketsAhead, Duration meanRunTime, int slots) {
    return meanRunTime.multipliedBy(ticketsAhead).dividedBy(Math.max(1, slots));
  }
}
