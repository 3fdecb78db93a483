package org.verbenawheel.execution;

import com.google.common.collect.ImmutableMap;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Function;
import org.verbenawheel.job.Job;
import org.verbenawheel.job.StepSpecification;

/**
 * Estimates the processor time that each pool's jobs ask for.
 *
 * <p>What is bound and what waits lags behind a surge, because the tasks of the first jobs fit. The
 * work of the latest arrivals over the time that they took to arrive tells of it a task's length
 * earlier (Little's law).
 */
final class PoolDemand {
  /** Fewer arrivals close together are too likely by chance. */
  private static final int ARRIVALS = 4;

  /** Bounds the estimate when several jobs arrive in the same moment. */
  private static final Duration SHORTEST_SPAN = Duration.ofMillis(200);

  private final Function<Job, String> poolOf;

  /**
   * Makes an estimator.
   *
   * @param poolOf tells the pool whose workers may run a job now
   */
  PoolDemand(Function<Job, String> poolOf) {
    this.poolOf = poolOf;
  }

  /**
   * Returns the demand of each pool, in thousandths of a core.
   *
   * @param active the jobs that have not ended, in the order of their acceptance
   * @param used what is bound to workers, by pool
   * @param shortages what could not be placed, by pool
   */
  ImmutableMap<String, Long> estimate(
      Collection<Job> active, Map<String, Long> used, Map<String, Long> shortages, Instant now) {
    Map<String, Deque<Job>> latest = new HashMap<>();
    for (Job job : active) {
      if (!job.specification().isLongRunning()) {
        Deque<Job> jobs =
            latest.computeIfAbsent(poolOf.apply(job), unused -> new ArrayDeque<>(ARRIVALS + 1));
        jobs.addLast(job);
        if (jobs.size() > ARRIVALS) {
          jobs.removeFirst();
        }
      }
    }
    Map<String, Long> demand = new HashMap<>(used);
    shortages.forEach((pool, millicores) -> demand.merge(pool, millicores, Long::sum));
    latest.forEach((pool, jobs) -> demand.merge(pool, offeredMillicores(jobs, now), Math::max));
    return ImmutableMap.copyOf(demand);
  }

  private static long offeredMillicores(Deque<Job> jobs, Instant now) {
    if (jobs.size() < ARRIVALS) {
      return 0;
    }
    Duration span = Duration.between(jobs.getFirst().acceptedAt(), now);
    long milliseconds = Math.max(span.toMillis(), SHORTEST_SPAN.toMillis());
    return jobs.stream().mapToLong(PoolDemand::work).sum() / milliseconds;
  }

  /** Returns a job's work in thousandths of a core times milliseconds. */
  private static long work(Job job) {
    long work = 0;
    for (StepSpecification step : job.specification().steps()) {
      work += (long) step.taskCount() * step.reservedMillicores() * step.estimateMilliseconds();
    }
    return work;
  }
}
