package org.verbenawheel.execution;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.verbenawheel.event.Event;
import org.verbenawheel.event.EventLine;
import org.verbenawheel.execution.WorkerCalls.ListedRun;
import org.verbenawheel.execution.WorkerCalls.PaceOrder;
import org.verbenawheel.job.Task;
import org.verbenawheel.job.TaskId;

/**
 * Slows tasks that use the leftover processor time of one worker while they push the response times
 * of serving tasks there towards their targets. Confined to the state thread.
 *
 * <p>Slowing is quick and speeding up is slow, and slower after each further slowdown, so that the
 * pace settles below the level that disturbs the serving tasks.
 */
final class Pacer {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /**
   * Share of the target response time at which tasks are slowed. It is below 1 because the worker's
   * figure is half a second old.
   */
  private static final double SLOW_DOWN_LOAD = 0.85;

  private static final double SPEED_UP_LOAD = 0.6;
  private static final int FULL_PACE_PERCENT = 100;
  private static final int SLOW_DOWN_STEP_PERCENT = 50;
  private static final int SPEED_UP_STEP_PERCENT = 25;

  /** The worker's figure covers half a second, so the effect of a change shows only after that. */
  private static final Duration CHANGE_INTERVAL = Duration.ofMillis(600);

  private static final Duration FIRST_SPEED_UP_DELAY = Duration.ofSeconds(2);
  private static final Duration LONGEST_SPEED_UP_DELAY = Duration.ofSeconds(16);

  private final FleetContext context;
  private final Map<TaskId, Integer> pacePercents = new HashMap<>();
  private Instant lastChangeAt;
  private Instant lowLoadSince;
  private Duration speedUpDelay = FIRST_SPEED_UP_DELAY;

  Pacer(FleetContext context) {
    this.context = context;
    this.lastChangeAt = context.leadingSince();
    this.lowLoadSince = context.leadingSince();
  }

  /** Returns the tasks that are slowed down. */
  Set<TaskId> slowedTasks() {
    return new HashSet<>(pacePercents.keySet());
  }

  /**
   * Compares the response times in a new listing with their targets, and changes the pace of the
   * filling tasks if needed.
   */
  void onListing(WorkerSession session, Instant now) {
    List<Task> filling = new ArrayList<>();
    double highestLoad = 0;
    for (Task task : context.jobRegistry().boundTo(session.worker().id())) {
      ListedRun run = session.listed().get(task.id().text());
      if (run == null || run.run() != task.run()) {
        continue;
      }
      if (task.step().fillsLeftover()) {
        filling.add(task);
      }
      if (task.step().targetMilliseconds() > 0) {
        highestLoad = Math.max(highestLoad, (double) run.load() / task.step().targetMilliseconds());
      }
    }
    pacePercents.keySet().retainAll(filling.stream().map(Task::id).toList());
    if (filling.isEmpty()) {
      return;
    }
    if (highestLoad >= SPEED_UP_LOAD) {
      lowLoadSince = now;
    }
    if (now.isBefore(lastChangeAt.plus(CHANGE_INTERVAL))) {
      return;
    }
    if (highestLoad >= SLOW_DOWN_LOAD) {
      slowDown(session, filling, now);
    } else if (!pacePercents.isEmpty() && now.isAfter(lowLoadSince.plus(speedUpDelay))) {
      filling.forEach(task -> setPace(session, task, pacePercent(task) + SPEED_UP_STEP_PERCENT));
      lastChangeAt = now;
      lowLoadSince = now;
    }
  }

  private void slowDown(WorkerSession session, List<Task> filling, Instant now) {
    boolean changed = false;
    for (Task task : filling) {
      if (pacePercent(task) > 0) {
        setPace(session, task, pacePercent(task) - SLOW_DOWN_STEP_PERCENT);
        changed = true;
      }
    }
    if (changed) {
      lastChangeAt = now;
      Duration doubled = speedUpDelay.multipliedBy(2);
      speedUpDelay =
          doubled.compareTo(LONGEST_SPEED_UP_DELAY) < 0 ? doubled : LONGEST_SPEED_UP_DELAY;
    }
  }

  private int pacePercent(Task task) {
    return pacePercents.getOrDefault(task.id(), FULL_PACE_PERCENT);
  }

  private void setPace(WorkerSession session, Task task, int requestedPercent) {
    int percent = Math.max(0, Math.min(FULL_PACE_PERCENT, requestedPercent));
    int previous = pacePercent(task);
    if (percent == previous) {
      return;
    }
    pacePercents.put(task.id(), percent);
    context.whenAnswered(
        context
            .calls()
            .pace(
                session.worker(),
                new PaceOrder(task.id(), task.run(), percent, session.fencingToken())),
        (clock, failure) -> {
          logger.atInfo().log(
              "%s",
              EventLine.of(Event.RUN_PACED)
                  .with("task", task.id())
                  .with("worker", session.worker().id())
                  .with("percent", percent)
                  .with("outcome", failure == null ? "done" : failure));
          if (failure != null) {
            pacePercents.replace(task.id(), percent, previous);
          } else if (percent == FULL_PACE_PERCENT) {
            pacePercents.remove(task.id(), percent);
          }
        });
  }
}
