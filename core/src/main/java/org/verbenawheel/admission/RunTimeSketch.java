package org.verbenawheel.admission;

import java.time.Duration;

/**
 * Estimates the run time of one route's work from its past runs.
 *
 * <p>Keeps the share of runs past the limit for short work, and the mean and mean deviation of run
 * times, all as moving averages that favor recent runs. So a route whose run times change also
 * changes its class.
 */
public final class RunTimeSketch {
  private static final double WEIGHT_OF_NEWEST = 0.05;
  private static final double DEVIATION_FACTOR = 2;
  private static final double NANOSECONDS_PER_MILLISECOND = 1e6;

  private double longShare;
  private double meanMilliseconds;
  private double deviationMilliseconds;
  private Duration longest = Duration.ZERO;
  private long classifiedRuns;
  private long runs;

  /**
   * Records that a run has passed the limit for short work while it is still running.
   *
   * <p>If it were recorded only at its end, many more long runs of the route could start as short
   * work in the meantime.
   */
  public void addOverrun() {
    classifiedRuns++;
    longShare += weightAfter(classifiedRuns) * (1 - longShare);
  }

  /** Records that a run ended within the limit for short work. */
  public void addWithinLimit() {
    classifiedRuns++;
    longShare -= weightAfter(classifiedRuns) * longShare;
  }

  /**
   * Records the run time of a run that ended.
   *
   * @param runTime how long it ran
   */
  public void addRunTime(Duration runTime) {
    runs++;
    longest = runTime.compareTo(longest) > 0 ? runTime : longest;
    double difference = runTime.toNanos() / NANOSECONDS_PER_MILLISECOND - meanMilliseconds;
    meanMilliseconds += weightAfter(runs) * difference;
    deviationMilliseconds += weightAfter(runs) * (Math.abs(difference) - deviationMilliseconds);
  }

  /** Returns the share of runs past the limit, from 0 to 1; 0 if no run was recorded. */
  public double longShare() {
    return longShare;
  }

  /** Returns the mean run time; zero if no run time was recorded. */
  public Duration mean() {
    return ofMilliseconds(meanMilliseconds);
  }

  /**
   * Returns a time within which most runs end: the mean plus twice the mean deviation, similar to
   * the bound on round-trip times in RFC 6298; zero if no run time was recorded.
   */
  public Duration likelyLongest() {
    return ofMilliseconds(meanMilliseconds + DEVIATION_FACTOR * deviationMilliseconds);
  }

  /** Returns the longest run time recorded; zero if there is none. */
  public Duration longest() {
    return longest;
  }

  private static Duration ofMilliseconds(double milliseconds) {
    return Duration.ofNanos((long) (milliseconds * NANOSECONDS_PER_MILLISECOND));
  }

  private static double weightAfter(long count) {
    return Math.max(WEIGHT_OF_NEWEST, 1.0 / count);
  }
}
