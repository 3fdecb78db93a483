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
 * Measures at one entry how much work callers request from each service and how much of it goes
 * unanswered. Thread-safe.
 *
 * <p>Work is measured in slots filled for one second. A request that did not run counts with the
 * mean run time of its service, since its own run time is unknown.
 */
public final class DemandMeter {
  private static final double NANOSECONDS_PER_SECOND = 1e9;
  private static final double NEWEST_RUN_WEIGHT = 0.05;

  private final ProcessId entry;
  private final Map<ServiceName, Tally> tallies = new HashMap<>();

  /**
   * Creates a meter without work.
   *
   * @param entry the process that the reports name
   */
  public DemandMeter(ProcessId entry) {
    this.entry = entry;
  }

  /**
   * Counts an attempt that ran at an endpoint.
   *
   * @param service the service
   * @param runTime how long it ran
   */
  public synchronized void addRun(ServiceName service, Duration runTime) {
    tally(service).addRun(runTime.toNanos() / NANOSECONDS_PER_SECOND);
  }

  /** Counts a request that was refused or missed its deadline. */
  public synchronized void addUnanswered(ServiceName service) {
    tally(service).unanswered++;
  }

  /**
   * Returns the work since the last call and resets it. Every service that ever had a request gets
   * a report.
   *
   * @param now the end of the second
   */
  public synchronized ImmutableList<DemandReport> close(Instant now) {
    Instant second = now.truncatedTo(ChronoUnit.SECONDS);
    ImmutableList.Builder<DemandReport> reports = ImmutableList.builder();
    tallies.forEach((service, tally) -> reports.add(tally.takeReport(entry, service, second)));
    return reports.build();
  }

  private Tally tally(ServiceName service) {
    return tallies.computeIfAbsent(service, unused -> new Tally());
  }

  /** The work of one service in the current second, and its mean run time across all seconds. */
  private static final class Tally {
    private double runSeconds;
    private int unanswered;
    private double meanRunSeconds;

    void addRun(double seconds) {
      runSeconds += seconds;
      meanRunSeconds =
          meanRunSeconds == 0
              ? seconds
              : meanRunSeconds + NEWEST_RUN_WEIGHT * (seconds - meanRunSeconds);
    }

    DemandReport takeReport(ProcessId entry, ServiceName service, Instant second) {
      double unansweredSlots = unanswered * meanRunSeconds;
      DemandReport report =
          new DemandReport(entry, service, second, runSeconds + unansweredSlots, unansweredSlots);
      runSeconds = 0;
      unanswered = 0;
      return report;
    }
  }
}
