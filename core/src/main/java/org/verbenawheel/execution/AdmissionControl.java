package org.verbenawheel.execution;

import com.google.common.collect.ImmutableMap;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.Supplier;
import org.verbenawheel.job.Job;
import org.verbenawheel.job.JobCommands.AcceptJob;
import org.verbenawheel.job.Task;
import org.verbenawheel.scheduling.AdmissionForecast;
import org.verbenawheel.scheduling.ArrivingWork;
import org.verbenawheel.scheduling.PoolBacklog;

/**
 * Gives {@link AdmissionForecast} the waiting jobs and the hosts of a pool as the leader knows
 * them. Confined to the state thread.
 */
final class AdmissionControl {
  /** Callers return within a minute, so older refusals need not be remembered. */
  private static final int REMEMBERED_REFUSALS = 10_000;

  private final FleetContext context;
  private final Map<String, WorkerSession> sessions;
  private final Function<Job, String> poolOf;
  private final Supplier<ImmutableMap<String, PoolBacklog>> backlogs;
  private final Supplier<Map<String, Long>> arrivingMillicores;
  private final Map<String, ArrivingWork> arrivingWork = new HashMap<>();
  private final Map<String, Instant> firstRefusals =
      new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Instant> eldest) {
          return size() > REMEMBERED_REFUSALS;
        }
      };
  private Optional<Map<String, Long>> capacities = Optional.empty();

  /**
   * Creates the control of a leadership.
   *
   * @param sessions the sessions by worker id
   * @param poolOf returns the pool whose workers may run a job now
   * @param backlogs returns the jobs that waited in the last scheduling round, by pool
   * @param arrivingMillicores returns the capacity of hosts that are moving to a pool, by pool
   */
  AdmissionControl(
      FleetContext context,
      Map<String, WorkerSession> sessions,
      Function<Job, String> poolOf,
      Supplier<ImmutableMap<String, PoolBacklog>> backlogs,
      Supplier<Map<String, Long>> arrivingMillicores) {
    this.context = context;
    this.sessions = sessions;
    this.poolOf = poolOf;
    this.backlogs = backlogs;
    this.arrivingMillicores = arrivingMillicores;
  }

  /** Discards the capacities, so that the next decision counts them again. */
  void onTick() {
    capacities = Optional.empty();
  }

  /** Returns when the caller should come back with a job, if it is to be refused; else empty. */
  Optional<Duration> retryAfter(AcceptJob job) {
    String pool = job.limits().pool();
    ArrivingWork arriving = arrivingWork.computeIfAbsent(pool, name -> new ArrivingWork());
    PoolBacklog backlog = backlogs.get().get(pool);
    Optional<Duration> retryAfter =
        backlog == null
            ? Optional.empty()
            : AdmissionForecast.retryAfter(job, backlog, arriving, capacityOf(pool), context.now());
    if (retryAfter.isPresent()) {
      firstRefusals.putIfAbsent(job.job(), context.now());
    } else if (!job.specification().isLongRunning() && !firstRefusals.containsKey(job.job())) {
      // A job that returns goes after those that are on time, so it does not delay them.
      arriving.add(context.now(), AdmissionForecast.workOf(job.specification()));
    }
    return retryAfter;
  }

  /** Returns how long ago a job was refused first; zero if it was not, or by an earlier leader. */
  Duration waitedSinceRefusal(String job) {
    Instant refusedAt = firstRefusals.get(job);
    return refusedAt == null ? Duration.ZERO : Duration.between(refusedAt, context.now());
  }

  private long capacityOf(String pool) {
    if (capacities.isEmpty()) {
      capacities = Optional.of(countCapacities());
    }
    return capacities.get().getOrDefault(pool, 0L);
  }

  /**
   * Returns the capacity of each pool for jobs that end. A worker that a new leader has not reached
   * yet counts, since it is likely to answer.
   */
  private Map<String, Long> countCapacities() {
    Map<String, Long> millicores = new HashMap<>(arrivingMillicores.get());
    for (WorkerSession session : sessions.values()) {
      if (session.isAnswering() && !session.worker().draining()) {
        millicores.merge(
            session.worker().pool(), (long) session.worker().capacity().cpuMillicores(), Long::sum);
      }
    }
    for (Job job : context.jobRegistry().active()) {
      if (job.specification().isLongRunning()) {
        millicores.merge(poolOf.apply(job), -heldMillicores(job), Long::sum);
      }
    }
    return millicores;
  }

  private static long heldMillicores(Job job) {
    return job.allTasks().stream()
        .filter(task -> task.phase() == Task.Phase.BOUND && task.step().longRunning())
        .mapToLong(task -> task.step().reservedMillicores())
        .sum();
  }
}
