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
  private static final double DEVIATIONS = 2;
  private static final double NANOSECONDS_PER_MILLISECOND = 1e6;

  private double longShare;
  private double meanMilliseconds;
  private double deviationMilliseconds;
  private Duration longest = Duration.ZERO;
  private long classified;
  private long runs;

  /**
   * Adds a run that has passed the limit for short work, and has not ended yet.
   *
   * <p>Waiting for its end would let many more of its kind start as short in the meantime.
   */
  public void addOverrun() {
    classified++;
    longShare += weightOf(classified) * (1 - longShare);
  }

  /** Adds a run that ended within the limit for short work. */
  public void addWithinLimit() {
    classified++;
    longShare -= weightOf(classified) * longShare;
  }

  /**
   * Adds the time of a run that ended.
   *
   * @param runTime how long it ran
   */
  public void addRunTime(Duration runTime) {
    runs++;
    longest = runTime.compareTo(longest) > 0 ? runTime : longest;
    double difference = runTime.toNanos() / NANOSECONDS_PER_MILLISECOND - meanMilliseconds;
    meanMilliseconds += weightOf(runs) * difference;
    deviationMilliseconds += weightOf(runs) * (Math.abs(difference) - deviationMilliseconds);
  }

  /** Returns the share of runs past the limit, from 0 to 1; 0 if none is known. */
  public double longShare() {
    return longShare;
  }

  /** Returns the mean run time; zero if none is known. */
  public Duration mean() {
    return ofMilliseconds(meanMilliseconds);
  }

  /**
   * Returns a time within which most runs end: the mean and twice the mean deviation, as RFC 6298
   * bounds a round trip; zero if none is known.
   */
  public Duration likelyLongest() {
    return ofMilliseconds(meanMilliseconds + DEVIATIONS * deviationMilliseconds);
  }

  /** Returns the longest run known; zero if none is. */
  public Duration longest() {
    return longest;
  }

  private static Duration ofMilliseconds(double milliseconds) {
    return Duration.ofNanos((long) (milliseconds * NANOSECONDS_PER_MILLISECOND));
  }

  private static double weightOf(long count) {
    return Math.max(WEIGHT_OF_NEWEST, 1.0 / count);
  }
}
