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
 * Adds up what the entries report of each second. A second is closed a little later, so that slow
 * reports are in; what comes after that is left out. Not safe for use by many threads.
 */
final class DemandCombiner {
  /** How long after a second its reports are waited for. */
  static final Duration WAIT = Duration.ofSeconds(5);

  private static final int SECONDS_KEPT = 120;

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
    if (open.size() > SECONDS_KEPT) {
      open.pollFirstEntry();
    }
  }

  /** Closes the seconds that are over and returns their sums, oldest first. */
  ImmutableList<DemandSample> close(Instant now) {
    Instant through = now.minus(WAIT);
    closedThrough = through.isAfter(closedThrough) ? through : closedThrough;
    NavigableMap<Instant, Map<Key, DemandReport>> over = open.headMap(through, true);
    ImmutableList<DemandSample> samples =
        over.entrySet().stream()
            .flatMap(second -> sums(second.getKey(), second.getValue()).values().stream())
            .collect(toImmutableList());
    over.clear();
    return samples;
  }

  private static Map<ServiceName, DemandSample> sums(
      Instant second, Map<Key, DemandReport> reports) {
    Map<ServiceName, DemandSample> sums = new HashMap<>();
    for (DemandReport report : reports.values()) {
      DemandSample part =
          new DemandSample(
              report.service(), second, report.offeredSlots(), report.unansweredSlots());
      sums.merge(report.service(), part, DemandCombiner::plus);
    }
    return sums;
  }

  private static DemandSample plus(DemandSample one, DemandSample other) {
    return new DemandSample(
        one.service(),
        one.at(),
        one.offeredSlots() + other.offeredSlots(),
        one.unansweredSlots() + other.unansweredSlots());
  }
}
