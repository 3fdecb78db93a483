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
 * Slows tasks that fill the leftover processor time of one worker while they push the response
 * times of tasks that serve beside them towards their targets. Belongs to the state thread.
 *
 * <p>Slowing is quick and speeding up is slow, and slower after each time that it proved wrong, so
 * that the pace settles below what disturbs.
 */
final class Pacer {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Slows down before the target is reached: the worker's figure is half a second old. */
  private static final double SLOW_DOWN_AT = 0.85;

  private static final double SPEED_UP_BELOW = 0.6;
  private static final int FULL_PACE = 100;
  private static final int SLOWER_BY = 50;
  private static final int FASTER_BY = 25;

  /** The worker's figure covers half a second, so a change shows after that. */
  private static final Duration BETWEEN_CHANGES = Duration.ofMillis(600);

  private static final Duration FIRST_HOLD = Duration.ofSeconds(2);
  private static final Duration LONGEST_HOLD = Duration.ofSeconds(16);

  private final FleetContext context;
  private final Map<TaskId, Integer> paces = new HashMap<>();
  private Instant lastChangeAt;
  private Instant calmSince;
  private Duration hold = FIRST_HOLD;

  Pacer(FleetContext context) {
    this.context = context;
    this.lastChangeAt = context.since();
    this.calmSince = context.since();
  }

  /** Returns the tasks that are slowed down. */
  Set<TaskId> paced() {
    return new HashSet<>(paces.keySet());
  }

  /** Compares the figures of a new listing with the targets. */
  void onListing(WorkerSession session, Instant now) {
    List<Task> filling = new ArrayList<>();
    double worst = 0;
    for (Task task : context.ledger().boundTo(session.worker().id())) {
      ListedRun run = session.listed().get(task.id().text());
      if (run == null || run.run() != task.run()) {
        continue;
      }
      if (task.step().fillsLeftover()) {
        filling.add(task);
      }
      if (task.step().targetMilliseconds() > 0) {
        worst = Math.max(worst, (double) run.load() / task.step().targetMilliseconds());
      }
    }
    paces.keySet().retainAll(filling.stream().map(Task::id).toList());
    if (filling.isEmpty()) {
      return;
    }
    if (worst >= SPEED_UP_BELOW) {
      calmSince = now;
    }
    if (now.isBefore(lastChangeAt.plus(BETWEEN_CHANGES))) {
      return;
    }
    if (worst >= SLOW_DOWN_AT) {
      slowDown(session, filling, now);
    } else if (!paces.isEmpty() && now.isAfter(calmSince.plus(hold))) {
      filling.forEach(task -> change(session, task, paceOf(task) + FASTER_BY));
      lastChangeAt = now;
      calmSince = now;
    }
  }

  private void slowDown(WorkerSession session, List<Task> filling, Instant now) {
    boolean changed = false;
    for (Task task : filling) {
      if (paceOf(task) > 0) {
        change(session, task, paceOf(task) - SLOWER_BY);
        changed = true;
      }
    }
    if (changed) {
      lastChangeAt = now;
      Duration doubled = hold.multipliedBy(2);
      hold = doubled.compareTo(LONGEST_HOLD) < 0 ? doubled : LONGEST_HOLD;
    }
  }

  private int paceOf(Task task) {
    return paces.getOrDefault(task.id(), FULL_PACE);
  }

  private void change(WorkerSession session, Task task, int wanted) {
    int percent = Math.max(0, Math.min(FULL_PACE, wanted));
    int before = paceOf(task);
    if (percent == before) {
      return;
    }
    paces.put(task.id(), percent);
    context.whenDone(
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
            paces.replace(task.id(), percent, before);
          } else if (percent == FULL_PACE) {
            paces.remove(task.id(), percent);
          }
        });
  }
}
