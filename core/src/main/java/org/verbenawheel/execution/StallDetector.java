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
 * Notices tasks of one worker that stand still, by the progress that the worker lists. Belongs to
 * the state thread.
 */
final class StallDetector {
  /** Even a straggler of twenty seconds' work moves by a percent within this time. */
  private static final Duration STANDS_STILL = Duration.ofSeconds(3);

  private static final int WHOLE = 100;

  private final Map<TaskId, Progress> progress = new HashMap<>();

  /**
   * Compares a listing with those before.
   *
   * @param bound the tasks that are bound to the worker
   * @param listed what the worker lists, by the tasks' names
   * @param paced tasks that are slowed down on purpose
   * @return tasks that made no progress for long
   */
  Set<TaskId> stalled(
      Iterable<Task> bound, Map<String, ListedRun> listed, Set<TaskId> paced, Instant now) {
    Set<TaskId> stalled = new HashSet<>();
    Set<TaskId> present = new HashSet<>();
    for (Task task : bound) {
      ListedRun run = listed.get(task.id().text());
      if (run == null || run.run() != task.run()) {
        continue;
      }
      present.add(task.id());
      Progress before = progress.get(task.id());
      boolean sound = task.step().longRunning() && run.percent() >= WHOLE;
      if (before == null || before.differs(run) || sound || paced.contains(task.id())) {
        progress.put(task.id(), new Progress(run.run(), run.percent(), now));
      } else if (now.isAfter(before.since().plus(STANDS_STILL))) {
        stalled.add(task.id());
      }
    }
    progress.keySet().retainAll(present);
    return stalled;
  }

  private record Progress(int run, int percent, Instant since) {
    boolean differs(ListedRun listed) {
      return run != listed.run() || percent != listed.percent();
    }
  }
}
