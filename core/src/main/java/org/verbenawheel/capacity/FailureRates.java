package org.verbenawheel.capacity;

import java.time.Duration;

/**
 * How often hosts and availability zones fail unplanned.
 *
 * @param hostLossesPerDay the mean number of losses of one host in a day
 * @param zoneLossesPerDay the mean number of losses of one availability zone in a day
 * @param rebootFailureShare the share of reboots after which a host does not come back
 */
public record FailureRates(
    double hostLossesPerDay, double zoneLossesPerDay, double rebootFailureShare) {
  /** 73 of 4,100 hosts a day; one of 9 availability zones in 60 days; one reboot in 200. */
  public static final FailureRates ORDINARY = new FailureRates(73.0 / 4_100, 1.0 / (60 * 9), 0.005);

  private static final double SECONDS_PER_DAY = 86_400;

  /**
   * Returns the approximate probability that a host is lost within {@code time}.
   *
   * @param time a time much shorter than the mean time between losses
   */
  public double hostLossWithin(Duration time) {
    return Math.min(1, hostLossesPerDay * time.toSeconds() / SECONDS_PER_DAY);
  }

  /**
   * Returns the approximate probability that an availability zone is lost within {@code time}.
   *
   * @param time a time much shorter than the mean time between losses
   */
  public double zoneLossWithin(Duration time) {
    return Math.min(1, zoneLossesPerDay * time.toSeconds() / SECONDS_PER_DAY);
  }
}
