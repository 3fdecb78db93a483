package org.verbenawheel.daemon;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import com.codahale.metrics.Timer;
import com.google.common.collect.ImmutableSortedMap;
import java.util.Comparator;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/** Converts a metric registry to the map of names and values that {@code /metrics} returns. */
final class MetricsDocument {
  private static final double NANOSECONDS_PER_MILLISECOND = TimeUnit.MILLISECONDS.toNanos(1);

  private MetricsDocument() {}

  /**
   * Returns the values of all metrics by name: counts of meters and histograms, and for timers the
   * count and percentiles in milliseconds.
   *
   * @param registry the metrics of a process
   */
  static ImmutableSortedMap<String, Object> of(MetricRegistry registry) {
    Map<String, Object> values = new TreeMap<>();
    registry.getGauges().forEach((name, gauge) -> values.put(name, gauge.getValue()));
    registry.getCounters().forEach((name, counter) -> values.put(name, counter.getCount()));
    registry.getMeters().forEach((name, meter) -> values.put(name, meter.getCount()));
    registry.getHistograms().forEach((name, histogram) -> values.put(name, histogram.getCount()));
    registry.getTimers().forEach((name, timer) -> values.put(name, timerValues(timer)));
    return ImmutableSortedMap.copyOf(values, Comparator.naturalOrder());
  }

  private static ImmutableSortedMap<String, Object> timerValues(Timer timer) {
    Snapshot snapshot = timer.getSnapshot();
    return ImmutableSortedMap.of(
        "count", timer.getCount(),
        "p50Milliseconds", snapshot.getMedian() / NANOSECONDS_PER_MILLISECOND,
        "p99Milliseconds", snapshot.get99thPercentile() / NANOSECONDS_PER_MILLISECOND);
  }
}
