package org.verbenawheel.admission;

import java.time.Duration;

/**
 * Estimates how long a new ticket would wait for a slot, so that a ticket that cannot meet its
 * deadline is refused at once instead of after waiting.
 */
public final class WaitEstimate {
  private WaitEstimate() {}

  /**
   * Returns the expected wait: the total run time of the work ahead, divided by the number of
   * slots.
   *
   * @param ticketsAhead how many tickets are granted first
   * @param meanRunTime the mean run time of that work
   * @param slots how many slots run such work; less than 1 counts as 1
   */
  public static Duration of(int ticketsAhead, Duration meanRunTime, int slots) {
    return meanRunTime.multipliedBy(ticketsAhead).dividedBy(Math.max(1, slots));
  }
}
