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
 * Detects workers on which all jobs fail, and excludes them for a time that doubles with each
 * quarantine, up to a maximum.
 *
 * <p>A worker is quarantined after {@value #CONSECUTIVE_FAILED_JOBS} different jobs failed on it
 * without a success between them. At most a tenth of the workers, but at least one, are in
 * quarantine at the same time: when more fail, the cause is the jobs and not the workers.
 */
final class Quarantine {
  static final int CONSECUTIVE_FAILED_JOBS = 3;
  static final Duration FIRST_DURATION = Duration.ofMinutes(5);
  private static final Duration MAXIMUM_DURATION = Duration.ofHours(2);
  private static final int WORKERS_PER_QUARANTINED = 10;

  private final int maximumQuarantined;
  private final Map<HostName, Set<JobId>> consecutiveFailedJobs = new HashMap<>();
  private final Map<HostName, Duration> lastDuration = new HashMap<>();
  private final Map<HostName, Instant> quarantinedUntil = new HashMap<>();

  Quarantine(int workers) {
    this.maximumQuarantined = Math.max(1, workers / WORKERS_PER_QUARANTINED);
  }

  void recordSuccess(HostName worker) {
    consecutiveFailedJobs.remove(worker);
    lastDuration.remove(worker);
  }

  /** Records a failed job and returns whether it put the worker in quarantine. */
  boolean recordFailure(HostName worker, JobId job, Instant now) {
    Set<JobId> jobs = consecutiveFailedJobs.computeIfAbsent(worker, unused -> new HashSet<>());
    jobs.add(job);
    if (jobs.size() < CONSECUTIVE_FAILED_JOBS || quarantinedUntil.size() >= maximumQuarantined) {
      return false;
    }
    consecutiveFailedJobs.remove(worker);
    Duration previous = lastDuration.get(worker);
    Duration duration =
        previous == null ? FIRST_DURATION : minimum(previous.multipliedBy(2), MAXIMUM_DURATION);
    lastDuration.put(worker, duration);
    quarantinedUntil.put(worker, now.plus(duration));
    return true;
  }

  boolean isQuarantined(HostName worker) {
    return quarantinedUntil.containsKey(worker);
  }

  /** Releases the workers whose quarantine is over, and returns them. */
  Set<HostName> release(Instant now) {
    Set<HostName> released = new HashSet<>();
    quarantinedUntil.forEach(
        (worker, end) -> {
          if (!end.isAfter(now)) {
            released.add(worker);
          }
        });
    quarantinedUntil.keySet().removeAll(released);
    return released;
  }

  private static Duration minimum(Duration first, Duration second) {
    return first.compareTo(second) < 0 ? first : second;
  }
}
