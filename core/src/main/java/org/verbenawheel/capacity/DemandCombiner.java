package org.verbenawheel.capacity;

import static com.google.common.collect.ImmutableList.toImmutableList;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.HashMap;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;
import org.verbenawheel.identity.ProcessId;
import org.verbenawheel.identity.ServiceName;

/**
 * Sums the reports of all entries for each second. A second is closed {@link #REPORT_WAIT} after
 * its end to include slow reports; later ones are ignored. Not thread-safe.
 */
final class DemandCombiner {
  /** The time after the end of a second in which its reports are accepted. */
  static final Duration REPORT_WAIT = Duration.ofSeconds(5);

  private static final int MAXIMUM_OPEN_SECONDS = 120;

  private record Key(ServiceName service, ProcessId entry) {}

  private final TreeMap<Instant, Map<Key, DemandReport>> open = new TreeMap<>();
  private Instant closedThrough = Instant.EPOCH;

  void add(DemandReport report) {
    Instant second = report.second().truncatedTo(ChronoUnit.SECONDS);
    if (!second.isAfter(closedThrough)) {
      return;
    }
    open.computeIfAbsent(second, unused -> new HashMap<>())
        .put(new Key(report.service(), report.entry()), report);
    if (open.size() > MAXIMUM_OPEN_SECONDS) {
      open.pollFirstEntry();
    }
  }

  /** Closes the seconds that ended long enough ago and returns their sums, oldest first. */
  ImmutableList<DemandSample> close(Instant now) {
    Instant through = now.minus(REPORT_WAIT);
    closedThrough = through.isAfter(closedThrough) ? through : closedThrough;
    NavigableMap<Instant, Map<Key, DemandReport>> closed = open.headMap(through, true);
    ImmutableList<DemandSample> samples =
        closed.entrySet().stream()
            .flatMap(second -> sums(second.getKey(), second.getValue()).values().stream())
            .collect(toImmutableList());
    closed.clear();
    return samples;
  }

  private static Map<ServiceName, DemandSample> sums(
      Instant second, Map<Key, DemandReport> reports) {
    Map<ServiceName, DemandSample> sums = new HashMap<>();
    for (DemandReport report : reports.values()) {
      DemandSample sample =
          new DemandSample(
              report.service(), second, report.offeredSlots(), report.unansweredSlots());
      sums.merge(report.service(), sample, DemandCombiner::sum);
    }
    return sums;
  }

  private static DemandSample sum(DemandSample one, DemandSample other) {
    return new DemandSample(
        one.service(),
        one.at(),
        one.offeredSlots() + other.offeredSlots(),
        one.unansweredSlots() + other.unansweredSlots());
  }
}
