package org.verbenawheel.load;

import com.google.common.collect.ImmutableSortedMap;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/** Aggregates the results of requests: latencies, outcomes and endpoints. Thread-safe. */
public final class LoadReport {
  private static final long MAXIMUM_LATENCY_MICROSECONDS = 3_600_000_000L;
  private static final int SIGNIFICANT_DIGITS = 3;
  private static final double MICROSECONDS_PER_MILLISECOND = 1_000;
  private static final int MEDIAN = 50;
  private static final int NINETY_NINTH = 99;

  private final Histogram latency = new Histogram(MAXIMUM_LATENCY_MICROSECONDS, SIGNIFICANT_DIGITS);
  private final Histogram wait = new Histogram(MAXIMUM_LATENCY_MICROSECONDS, SIGNIFICANT_DIGITS);
  private final Map<String, Integer> outcomes = new TreeMap<>();
  private final Map<String, Integer> endpoints = new TreeMap<>();
  private int wrongAnswers;

  /**
   * Adds one result.
   *
   * @param request the request
   * @param result its result
   * @param correct whether the answer is complete and belongs to the request
   */
  public synchronized void add(LoadRequest request, CallerResult result, boolean correct) {
    latency.recordValue(Math.min(MAXIMUM_LATENCY_MICROSECONDS, result.latencyMicroseconds()));
    wait.recordValue(Math.max(0, result.latencyMicroseconds() - request.workMicroseconds()));
    outcomes.merge(outcomeOf(result), 1, Integer::sum);
    result.endpoint().ifPresent(endpoint -> endpoints.merge(endpoint, 1, Integer::sum));
    if (!correct) {
      wrongAnswers++;
    }
  }

  /** Returns the number of results. */
  public synchronized long count() {
    return latency.getTotalCount();
  }

  /** Returns the number of results that failed the check: wrong, truncated or missing answers. */
  public synchronized int wrongAnswers() {
    return wrongAnswers;
  }

  /** Returns the number of results for each status, verdict and refusal message. */
  public synchronized ImmutableSortedMap<String, Integer> outcomes() {
    return ImmutableSortedMap.copyOf(outcomes);
  }

  /** Returns how many requests each endpoint answered. */
  public synchronized ImmutableSortedMap<String, Integer> endpoints() {
    return ImmutableSortedMap.copyOf(endpoints);
  }

  /** Returns a percentile, from 0 to 100, of the latency in milliseconds. */
  public synchronized double latencyMilliseconds(double percentile) {
    return latency.getValueAtPercentile(percentile) / MICROSECONDS_PER_MILLISECOND;
  }

  /**
   * Returns a percentile, from 0 to 100, of the latency less the time that the endpoint works on
   * the request, in milliseconds.
   */
  public synchronized double waitMilliseconds(double percentile) {
    return wait.getValueAtPercentile(percentile) / MICROSECONDS_PER_MILLISECOND;
  }

  /** Returns one line of the table: count, wait and latency at the median and 99th percentile. */
  public synchronized String tableLine(String title) {
    return String.format(
        Locale.ROOT,
        "%-20s %8d %10.1f %10.1f %10.1f %10.1f  %s",
        title,
        count(),
        waitMilliseconds(MEDIAN),
        waitMilliseconds(NINETY_NINTH),
        latencyMilliseconds(MEDIAN),
        latencyMilliseconds(NINETY_NINTH),
        outcomes);
  }

  /** Returns the column headings for {@link #tableLine}. */
  public static String tableHeading() {
    return String.format(
        "%-20s %8s %10s %10s %10s %10s  %s",
        "service",
        "requests",
        "wait p50",
        "wait p99",
        "took p50",
        "took p99",
        "status and verdict (times in ms)");
  }

  private static String outcomeOf(CallerResult result) {
    if (result.status() == CallerResult.NO_STATUS) {
      return "none";
    }
    String outcome = result.status() + " " + result.verdict().orElse("-");
    return result.refusalMessage().map(message -> outcome + " " + message).orElse(outcome);
  }
}
