package org.verbenawheel.execution;

import com.google.common.collect.ImmutableSet;
import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.verbenawheel.event.Event;
import org.verbenawheel.event.EventLine;
import org.verbenawheel.job.RunEnding;
import org.verbenawheel.job.TaskId;

/**
 * Quarantines workers that fail tasks which other workers can run, and tracks which tasks failed on
 * which worker. Confined to the state thread.
 *
 * <p>One job may fail everywhere, so only consecutive failures of several jobs count against a
 * worker. A task that failed on a worker is tried on another one first.
 */
final class WorkerFailureTracker {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** This many consecutive failures are unlikely on a healthy worker: about 3 % of tasks fail. */
  private static final int QUARANTINE_FAILURES = 4;

  /**
   * Consecutive failures count only if they come from this many jobs: jobs that fail everywhere
   * come in groups, whereas a faulty worker fails tasks of any job.
   */
  private static final int QUARANTINE_JOBS = 3;

  private static final Duration FIRST_QUARANTINE = Duration.ofSeconds(3);
  private static final Duration LONGEST_QUARANTINE = Duration.ofSeconds(12);

  private final Map<String, Failures> failuresByWorker = new HashMap<>();
  private final Map<String, Set<TaskId>> failedTasksByWorker = new HashMap<>();

  /** Records how a run of a task ended on a worker. */
  void onRunEnded(String worker, TaskId task, RunEnding ending, Instant now) {
    if (ending == RunEnding.DONE) {
      failuresByWorker.remove(worker);
      failedTasksByWorker.values().forEach(tasks -> tasks.remove(task));
    } else if (ending == RunEnding.FAILED) {
      failedTasksByWorker.computeIfAbsent(worker, unused -> new HashSet<>()).add(task);
      failuresByWorker
          .computeIfAbsent(worker, unused -> new Failures())
          .onFailure(worker, task, now);
    }
  }

  /** Returns whether a worker is currently assigned no tasks because of its failures. */
  boolean isQuarantined(String worker, Instant now) {
    Failures failures = failuresByWorker.get(worker);
    return failures != null && now.isBefore(failures.quarantinedUntil);
  }

  /** Returns the tasks that failed on a worker and have not succeeded anywhere since. */
  ImmutableSet<TaskId> failedTasks(String worker) {
    return ImmutableSet.copyOf(failedTasksByWorker.getOrDefault(worker, Set.of()));
  }

  void forget(String worker) {
    failuresByWorker.remove(worker);
    failedTasksByWorker.remove(worker);
  }

  /** The failures of one worker since its last success. */
  private static final class Failures {
    private final Set<String> jobs = new HashSet<>();
    private int consecutive;
    private Duration quarantine = FIRST_QUARANTINE;
    private Instant quarantinedUntil = Instant.MIN;

    void onFailure(String worker, TaskId task, Instant now) {
      consecutive++;
      jobs.add(task.job());
      if (consecutive < QUARANTINE_FAILURES || jobs.size() < QUARANTINE_JOBS) {
        return;
      }
      quarantinedUntil = now.plus(quarantine);
      logger.atWarning().log(
          "%s",
          EventLine.of(Event.WORKER_QUARANTINED)
              .with("worker", worker)
              .with("failures_in_a_row", consecutive)
              .with("jobs", jobs.size())
              .with("milliseconds", quarantine.toMillis()));
      Duration doubled = quarantine.multipliedBy(2);
      quarantine = doubled.compareTo(LONGEST_QUARANTINE) < 0 ? doubled : LONGEST_QUARANTINE;
      // One more failure after the quarantine is enough to begin the next one.
      consecutive = QUARANTINE_FAILURES - 1;
    }
  }
}
