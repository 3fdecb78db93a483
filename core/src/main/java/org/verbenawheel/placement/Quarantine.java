package org.verbenawheel.placement;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.verbenawheel.identity.HostName;
import org.verbenawheel.identity.JobId;

/**
 * Notices workers that fail everything they start, and keeps them out for a time that doubles.
 *
 * <p>A worker is kept out after {@value #FAILURES_IN_A_ROW} different jobs failed on it in a row.
 * At most a tenth of the workers are: when more fail, it is the jobs and not the workers.
 */
final class Quarantine {
  static final int FAILURES_IN_A_ROW = 3;
  static final Duration FIRST_TIME = Duration.ofMinutes(5);
  private static final Duration LONGEST_TIME = Duration.ofHours(2);
  private static final int SMALLEST_SHARE = 10;

  private final int mostKeptOut;
  private final Map<HostName, Set<JobId>> failedInARow = new HashMap<>();
  private final Map<HostName, Duration> lastTime = new HashMap<>();
  private final Map<HostName, Instant> until = new HashMap<>();

  Quarantine(int workers) {
    this.mostKeptOut = Math.max(1, workers / SMALLEST_SHARE);
  }

  void succeeded(HostName worker) {
    failedInARow.remove(worker);
    lastTime.remove(worker);
  }

  /** Returns whether the worker is kept out from now on. */
  boolean failed(HostName worker, JobId job, Instant now) {
    Set<JobId> jobs = failedInARow.computeIfAbsent(worker, unused -> new HashSet<>());
    jobs.add(job);
    if (jobs.size() < FAILURES_IN_A_ROW || until.size() >= mostKeptOut) {
      return false;
    }
    failedInARow.remove(worker);
    Duration last = lastTime.get(worker);
    Duration time = last == null ? FIRST_TIME : shorter(last.multipliedBy(2), LONGEST_TIME);
    lastTime.put(worker, time);
    until.put(worker, now.plus(time));
    return true;
  }

  boolean isKeptOut(HostName worker) {
    return until.containsKey(worker);
  }

  /** Lets the workers back whose time is over, and returns them. */
  Set<HostName> release(Instant now) {
    Set<HostName> released = new HashSet<>();
    until.forEach(
        (worker, end) -> {
          if (!end.isAfter(now)) {
            released.add(worker);
          }
        });
    until.keySet().removeAll(released);
    return released;
  }

  private static Duration shorter(Duration one, Duration other) {
    return one.compareTo(other) < 0 ? one : other;
  }
}
