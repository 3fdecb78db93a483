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
 * Keeps tasks away from workers that fail what others can do. Belongs to the state thread.
 *
 * <p>One job may be beyond repair, so only failures of several jobs in a row count against a
 * worker; and a task that failed on a worker is tried on another one first.
 */
final class WorkerTrust {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** So many failures in a row are unlikely on a sound worker: about 3 % of tasks fail. */
  private static final int FAILURES_IN_A_ROW = 4;

  /** Jobs that fail everywhere come in groups; a bad worker fails those of anybody. */
  private static final int FAILED_JOBS = 3;

  private static final Duration FIRST_QUARANTINE = Duration.ofSeconds(3);
  private static final Duration LONGEST_QUARANTINE = Duration.ofSeconds(12);

  private final Map<String, Failures> records = new HashMap<>();
  private final Map<String, Set<TaskId>> failedHere = new HashMap<>();

  /** Takes the end of a run. */
  void onEnd(String worker, TaskId task, RunEnding ending, Instant now) {
    if (ending == RunEnding.DONE) {
      records.remove(worker);
      failedHere.values().forEach(tasks -> tasks.remove(task));
    } else if (ending == RunEnding.FAILED) {
      failedHere.computeIfAbsent(worker, unused -> new HashSet<>()).add(task);
      records.computeIfAbsent(worker, unused -> new Failures()).onFailure(worker, task, now);
    }
  }

  /** Returns whether a worker gets no tasks for a while. */
  boolean isQuarantined(String worker, Instant now) {
    Failures record = records.get(worker);
    return record != null && now.isBefore(record.quarantinedUntil);
  }

  /** Returns the tasks that failed on a worker. */
  ImmutableSet<TaskId> failedOn(String worker) {
    return ImmutableSet.copyOf(failedHere.getOrDefault(worker, Set.of()));
  }

  void forget(String worker) {
    records.remove(worker);
    failedHere.remove(worker);
  }

  /** The failures of one worker since its last success. */
  private static final class Failures {
    private final Set<String> jobs = new HashSet<>();
    private int inARow;
    private Duration quarantine = FIRST_QUARANTINE;
    private Instant quarantinedUntil = Instant.MIN;

    void onFailure(String worker, TaskId task, Instant now) {
      inARow++;
      jobs.add(task.job());
      if (inARow < FAILURES_IN_A_ROW || jobs.size() < FAILED_JOBS) {
        return;
      }
      quarantinedUntil = now.plus(quarantine);
      logger.atWarning().log(
          "%s",
          EventLine.of(Event.WORKER_QUARANTINED)
              .with("worker", worker)
              .with("failures_in_a_row", inARow)
              .with("jobs", jobs.size())
              .with("milliseconds", quarantine.toMillis()));
      Duration doubled = quarantine.multipliedBy(2);
      quarantine = doubled.compareTo(LONGEST_QUARANTINE) < 0 ? doubled : LONGEST_QUARANTINE;
      // One more failure after the quarantine is enough to begin the next.
      inARow = FAILURES_IN_A_ROW - 1;
    }
  }
}
