package org.verbenawheel.admission;

import java.time.Duration;

/**
 * Learns how long the work of one route runs, from the runs that ended.
 *
 * <p>Keeps the share of runs past the limit for short work and the mean, both weighted towards
 * recent runs, so that a route that changes its nature changes its class.
 */
public final class RunTimeSketch {
  private static final double WEIGHT_OF_NEWEST = 0.05;

  private double longShare;
  private double meanMilliseconds;
  private long runs;

  /**
   * Adds a run.
   *
   * @param runTime how long it ran
   * @param shortWorkLimit how long short work may run
   */
  public void add(Duration runTime, Duration shortWorkLimit) {
    runs++;
    double weight = Math.max(WEIGHT_OF_NEWEST, 1.0 / runs);
    double isLong = runTime.compareTo(shortWorkLimit) > 0 ? 1 : 0;
    longShare += weight * (isLong - longShare);
    meanMilliseconds += weight * (runTime.toNanos() / 1e6 - meanMilliseconds);
  }

  /** Returns the share of runs past the limit, from 0 to 1; 0 if none is known. */
  public double longShare() {
    return longShare;
  }

  /** Returns the mean run time; zero if none is known. */
  public Duration mean() {
    return Duration.ofNanos((long) (meanMilliseconds * 1e6));
  }
}
