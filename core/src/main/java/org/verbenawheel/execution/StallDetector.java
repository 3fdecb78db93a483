package org.verbenawheel.execution;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.verbenawheel.execution.WorkerCalls.ListedRun;
import org.verbenawheel.job.Task;
import org.verbenawheel.job.TaskId;

/**
 * Detects tasks of one worker that make no progress, from the percentages that the worker lists.
 * Confined to the state thread.
 */
final class StallDetector {
  /** Even a straggler of a twenty-second task advances by one percent within this time. */
  private static final Duration STALL_TIME = Duration.ofSeconds(3);

  private static final int FULL_PERCENT = 100;

  private final Map<TaskId, Progress> lastProgress = new HashMap<>();

  /**
   * Compares a listing with the earlier ones.
   *
   * @param bound the tasks that are bound to the worker
   * @param listed the runs that the worker lists, by task name
   * @param slowed tasks that are slowed down on purpose, which never count as stalled
   * @return tasks whose progress has not changed for longer than the stall time
   */
  Set<TaskId> stalled(
      Iterable<Task> bound, Map<String, ListedRun> listed, Set<TaskId> slowed, Instant now) {
    Set<TaskId> stalled = new HashSet<>();
    Set<TaskId> present = new HashSet<>();
    for (Task task : bound) {
      ListedRun run = listed.get(task.id().text());
      if (run == null || run.run() != task.run()) {
        continue;
      }
      present.add(task.id());
      Progress previous = lastProgress.get(task.id());
      boolean fullyAvailable = task.step().longRunning() && run.percent() >= FULL_PERCENT;
      if (previous == null
          || previous.differs(run)
          || fullyAvailable
          || slowed.contains(task.id())) {
        lastProgress.put(task.id(), new Progress(run.run(), run.percent(), now));
      } else if (now.isAfter(previous.since().plus(STALL_TIME))) {
        stalled.add(task.id());
      }
    }
    lastProgress.keySet().retainAll(present);
    return stalled;
  }

  private record Progress(int run, int percent, Instant since) {
    boolean differs(ListedRun listed) {
      return run != listed.run() || percent != listed.percent();
    }
  }
}
