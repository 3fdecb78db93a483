package org.verbenawheel.capacity;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.HashMap;
import java.util.Map;
import org.verbenawheel.identity.ProcessId;
import org.verbenawheel.identity.ServiceName;

/**
 * Measures at one entry how much work callers ask of each service and how much of it goes
 * unanswered. Safe for use by many threads.
 *
 * <p>Work is measured in slots filled for a second. A request that did not run counts with the mean
 * run time of its service, since nobody knows how long it would have run.
 */
public final class DemandMeter {
  private static final double NANOSECONDS_PER_SECOND = 1e9;
  private static final double WEIGHT_OF_NEWEST_RUN = 0.05;

  private final ProcessId entry;
  private final Map<ServiceName, Tally> tallies = new HashMap<>();

  /**
   * Makes a meter without work.
   *
   * @param entry the entry
   */
  public DemandMeter(ProcessId entry) {
    this.entry = entry;
  }

  /**
   * Counts an attempt that an endpoint ran.
   *
   * @param service the service
   * @param runTime how long it ran
   */
  public synchronized void addRun(ServiceName service, Duration runTime) {
    tally(service).addRun(runTime.toNanos() / NANOSECONDS_PER_SECOND);
  }

  /**
   * Counts a request that went unanswered.
   *
   * @param service the service
   */
  public synchronized void addUnanswered(ServiceName service) {
    tally(service).unanswered++;
  }

  /**
   * Returns what came since the last call, a report for each service ever asked, and begins anew.
   *
   * @param now the end of the second
   */
  public synchronized ImmutableList<DemandReport> close(Instant now) {
    Instant second = now.truncatedTo(ChronoUnit.SECONDS);
    ImmutableList.Builder<DemandReport> reports = ImmutableList.builder();
    tallies.forEach((service, tally) -> reports.add(tally.close(entry, service, second)));
    return reports.build();
  }

  private Tally tally(ServiceName service) {
    return tallies.computeIfAbsent(service, unused -> new Tally());
  }

  /** The work of one service; the mean run time outlives the second. */
  private static final class Tally {
    private double runSeconds;
    private int unanswered;
    private double meanRunSeconds;

    void addRun(double seconds) {
      runSeconds += seconds;
      meanRunSeconds =
          meanRunSeconds == 0
              ? seconds
              : meanRunSeconds + WEIGHT_OF_NEWEST_RUN * (seconds - meanRunSeconds);
    }

    DemandReport close(ProcessId entry, ServiceName service, Instant second) {
      double unansweredSlots = unanswered * meanRunSeconds;
      DemandReport report =
          new DemandReport(entry, service, second, runSeconds + unansweredSlots, unansweredSlots);
      runSeconds = 0;
      unanswered = 0;
      return report;
    }
  }
}
