package org.verbenawheel.execution;

import static com.google.common.collect.ImmutableSet.toImmutableSet;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
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
 * Empties workers before their hosts go down: assigns no new tasks to them, stops long-running
 * tasks one by one as far as the limits of their steps allow, and gives short tasks time to end.
 * Confined to the state thread.
 */
final class Evacuations {
  /** How long short tasks may run on before those that write checkpoints are stopped. */
  private static final Duration CHECKPOINT_GRACE = Duration.ofSeconds(2);

  /** How long short tasks may run on before all of them are stopped. */
  private static final Duration SHORT_TASK_GRACE = Duration.ofSeconds(8);

  private static final int AVAILABLE_PERCENT = 100;

  private final FleetContext context;
  private final Map<String, WorkerSession> sessions;
  private final Predicate<String> standbyPools;
  private final Consumer<String> workerEndedListener;
  private final Map<String, Evacuation> evacuations = new HashMap<>();
  private ImmutableSet<String> cordonedWorkers = ImmutableSet.of();

  /**
   * Creates a tracker without evacuations.
   *
   * @param sessions the sessions by worker id
   * @param standbyPools accepts pools whose hosts run no tasks
   * @param workerEndedListener receives the id of a worker that has ended
   */
  Evacuations(
      FleetContext context,
      Map<String, WorkerSession> sessions,
      Predicate<String> standbyPools,
      Consumer<String> workerEndedListener) {
    this.context = context;
    this.sessions = sessions;
    this.standbyPools = standbyPools;
    this.workerEndedListener = workerEndedListener;
  }

  boolean isUnderWay(String host) {
    return evacuations.containsKey(host);
  }

  boolean isStandbyPool(String pool) {
    return standbyPools.test(pool);
  }

  /** Returns whether a worker gets no new tasks because its host goes down. */
  boolean isCordoned(String worker) {
    return cordonedWorkers.contains(worker);
  }

  /** Returns whether a worker that reported to run on a host answers. */
  boolean hasAnsweringWorker(String host) {
    return sessions.values().stream()
        .anyMatch(session -> session.worker().host().equals(host) && session.isAnswering());
  }

  private void updateCordonedWorkers() {
    cordonedWorkers =
        evacuations.values().stream()
            .flatMap(evacuation -> evacuation.worker().stream())
            .collect(toImmutableSet());
  }

  void begin(String host, Optional<String> worker, Instant now) {
    evacuations.put(host, new Evacuation(worker, now));
    updateCordonedWorkers();
  }

  void retainOnly(Set<String> hosts) {
    if (evacuations.keySet().retainAll(hosts)) {
      updateCordonedWorkers();
    }
  }

  void onWorkerEnded(String worker) {
    workerEndedListener.accept(worker);
  }

  /**
   * Stops the tasks on a host that may be stopped by now.
   *
   * @param worker the worker that the platform currently lists on the host
   * @param deadlineNear whether short tasks are stopped without time to end
   * @return whether no task is bound to the host's worker; false if no evacuation was begun
   */
  boolean advance(String host, Optional<String> worker, Instant now, boolean deadlineNear) {
    Evacuation evacuation = evacuations.get(host);
    if (evacuation == null) {
      return false;
    }
    if (!evacuation.worker().equals(worker)) {
      evacuations.put(host, new Evacuation(worker, evacuation.since()));
      updateCordonedWorkers();
    }
    boolean empty = true;
    for (Task task :
        worker.map(id -> context.jobRegistry().boundTo(id).asList()).orElse(ImmutableList.of())) {
      empty = false;
      if (mayStop(task, evacuation.since(), now, deadlineNear)) {
        task.worker().map(sessions::get).ifPresent(session -> session.orders().stop(task.id()));
      }
    }
    return empty;
  }

  private boolean mayStop(Task task, Instant since, Instant now, boolean deadlineNear) {
    if (task.step().longRunning()) {
      return countUnavailable(task) < Math.max(1, task.step().maximumUnavailable());
    }
    boolean graceOver = now.isAfter(since.plus(SHORT_TASK_GRACE)) || deadlineNear;
    boolean resumable = task.step().checkpointing() && now.isAfter(since.plus(CHECKPOINT_GRACE));
    return graceOver || resumable;
  }

  /** Returns how many other tasks of the step are unavailable. */
  private long countUnavailable(Task task) {
    return task.job().tasks(task.id().occurrence(), task.id().step()).stream()
        .filter(other -> other != task && !isAvailable(other))
        .count();
  }

  private boolean isAvailable(Task task) {
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
        && (run.percent() >= AVAILABLE_PERCENT || !step.longRunning());
  }

  /** An evacuation of one host. */
  private record Evacuation(Optional<String> worker, Instant since) {}
}
