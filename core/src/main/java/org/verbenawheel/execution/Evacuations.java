package org.verbenawheel.execution;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.verbenawheel.execution.WorkerCalls.ListedRun;
import org.verbenawheel.job.StepSpecification;
import org.verbenawheel.job.Task;

/**
 * Empties workers before their hosts go down: no new task starts there, tasks that last are stopped
 * one by one as far as their steps allow, and the others are left to end. Belongs to the state
 * thread.
 */
final class Evacuations {
  /** How long short tasks are left to end before those with checkpoints are stopped. */
  private static final Duration CHECKPOINT_PATIENCE = Duration.ofSeconds(2);

  /** How long short tasks are left to end before they are stopped all the same. */
  private static final Duration PATIENCE = Duration.ofSeconds(8);

  private static final int AT_WORK_PERCENT = 100;

  private final FleetContext context;
  private final Map<String, WorkerSession> sessions;
  private final Predicate<String> idlePools;
  private final Consumer<String> workerEnded;
  private final Map<String, Evacuation> underWay = new HashMap<>();

  /**
   * Makes an empty set.
   *
   * @param sessions the sessions by worker
   * @param idlePools tells whether the hosts of a pool do nothing
   * @param workerEnded takes the id of a worker that has ended
   */
  Evacuations(
      FleetContext context,
      Map<String, WorkerSession> sessions,
      Predicate<String> idlePools,
      Consumer<String> workerEnded) {
    this.context = context;
    this.sessions = sessions;
    this.idlePools = idlePools;
    this.workerEnded = workerEnded;
  }

  boolean isUnderWay(String host) {
    return underWay.containsKey(host);
  }

  boolean isIdlePool(String pool) {
    return idlePools.test(pool);
  }

  /** Returns whether a worker gets no new tasks because its host goes down. */
  boolean isCordoned(String worker) {
    return underWay.values().stream()
        .anyMatch(evacuation -> evacuation.worker().filter(worker::equals).isPresent());
  }

  void begin(String host, Optional<String> worker, Instant now) {
    underWay.put(host, new Evacuation(worker, now));
  }

  void retainOnly(Set<String> hosts) {
    underWay.keySet().retainAll(hosts);
  }

  void onWorkerEnded(String worker) {
    workerEnded.accept(worker);
  }

  /**
   * Goes on with emptying a host.
   *
   * @param worker the worker that the platform lists on the host now
   * @param pressing whether the deadline is near
   * @return whether nothing runs there any more
   */
  boolean advance(String host, Optional<String> worker, Instant now, boolean pressing) {
    Evacuation evacuation =
        underWay.computeIfPresent(
            host, (unused, present) -> new Evacuation(worker, present.since()));
    if (evacuation == null) {
      return false;
    }
    boolean empty = true;
    for (Task task :
        worker.map(id -> context.ledger().boundTo(id).asList()).orElse(ImmutableList.of())) {
      empty = false;
      if (mayStop(task, evacuation.since(), now, pressing)) {
        task.worker().map(sessions::get).ifPresent(session -> session.orders().stop(task.id()));
      }
    }
    return empty;
  }

  private boolean mayStop(Task task, Instant since, Instant now, boolean pressing) {
    if (task.step().longRunning()) {
      return unavailable(task) < Math.max(1, task.step().maximumUnavailable());
    }
    boolean patienceOver = now.isAfter(since.plus(PATIENCE)) || pressing;
    boolean saved = task.step().checkpointing() && now.isAfter(since.plus(CHECKPOINT_PATIENCE));
    return patienceOver || saved;
  }

  /** Returns how many other tasks of the step are not at work. */
  private long unavailable(Task task) {
    return task.job().tasks(task.id().occurrence(), task.id().step()).stream()
        .filter(other -> other != task && !isAtWork(other))
        .count();
  }

  private boolean isAtWork(Task task) {
    StepSpecification step = task.step();
    Optional<WorkerSession> session = task.worker().map(sessions::get);
    if (session.isEmpty()
        || !session.get().isAnswering()
        || session.get().orders().isStopping(task.id())) {
      return false;
    }
    ListedRun run = session.get().listed().get(task.id().text());
    return run != null
        && run.run() == task.run()
        && (run.percent() >= AT_WORK_PERCENT || !step.longRunning());
  }

  /** One host that is being emptied. */
  private record Evacuation(Optional<String> worker, Instant since) {}
}
