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
 * Estimates the processor time that each pool's jobs will need when a host that is ordered now has
 * arrived.
 *
 * <p>The bound and waiting tasks lag behind a surge, because the tasks of its first jobs still fit.
 * The rate at which work arrives shows the surge earlier (Little's law), and the growth of this
 * rate shows how far it will go.
 */
final class PoolDemand {
  /** Shorter windows hold too few arrivals to estimate a rate. */
  private static final Duration SHORTEST_WINDOW = Duration.ofMillis(500);

  /** Longer windows hide the onset of a surge that lasts some seconds. */
  private static final Duration LONGEST_WINDOW = Duration.ofSeconds(3);

  private final Function<Job, String> poolOf;
  private final Duration hostArrivalDelay;
  private final Map<String, Deque<Arrival>> arrivals = new HashMap<>();
  private Instant lastArrivalAt = Instant.MIN;

  /**
   * Creates an estimator without arrivals.
   *
   * @param poolOf returns the pool whose workers may run a job now
   * @param hostArrivalDelay how long a host takes to change its pool
   */
  PoolDemand(Function<Job, String> poolOf, Duration hostArrivalDelay) {
    this.poolOf = poolOf;
    this.hostArrivalDelay = hostArrivalDelay;
  }

  /**
   * Returns the demand of each pool, in thousandths of a core.
   *
   * @param active the jobs that have not ended, in the order of their acceptance
   * @param used what the tasks bound to workers use, by pool, in thousandths of a core
   * @param shortages what the tasks that could not be placed need, by pool, in thousandths of a
   *     core
   */
  ImmutableMap<String, Long> estimate(
      Collection<Job> active, Map<String, Long> used, Map<String, Long> shortages, Instant now) {
    recordArrivals(active, now);
    Map<String, Long> demand = new HashMap<>(used);
    shortages.forEach((pool, millicores) -> demand.merge(pool, millicores, Long::sum));
    arrivals.forEach((pool, jobs) -> demand.merge(pool, forecastMillicores(jobs, now), Math::max));
    return ImmutableMap.copyOf(demand);
  }

  private void recordArrivals(Collection<Job> active, Instant now) {
    Instant latestAcceptedAt = lastArrivalAt;
    for (Job job : active) {
      if (job.acceptedAt().isAfter(lastArrivalAt) && !job.specification().isLongRunning()) {
        arrivals
            .computeIfAbsent(poolOf.apply(job), pool -> new ArrayDeque<>())
            .addLast(Arrival.of(job));
        latestAcceptedAt =
            job.acceptedAt().isAfter(latestAcceptedAt) ? job.acceptedAt() : latestAcceptedAt;
      }
    }
    lastArrivalAt = latestAcceptedAt;
    Instant oldest = now.minus(LONGEST_WINDOW.multipliedBy(2));
    for (Deque<Arrival> jobs : arrivals.values()) {
      while (!jobs.isEmpty() && jobs.getFirst().acceptedAt().isBefore(oldest)) {
        jobs.removeFirst();
      }
    }
  }

  /**
   * Returns the processor time that arriving work will need, in thousandths of a core: its present
   * rate and the growth of the rate, extrapolated linearly.
   */
  private long forecastMillicores(Deque<Arrival> jobs, Instant now) {
    if (jobs.isEmpty()) {
      return 0;
    }
    double criticalPathMilliseconds =
        jobs.stream().mapToLong(Arrival::criticalPathMilliseconds).average().orElse(0);
    double slackMilliseconds =
        jobs.stream().mapToLong(Arrival::slackMilliseconds).average().orElse(0);
    long shortestMilliseconds = SHORTEST_WINDOW.toMillis();
    long windowMilliseconds =
        Math.max(
            shortestMilliseconds,
            Math.min(LONGEST_WINDOW.toMillis(), (long) criticalPathMilliseconds));
    Instant presentBegin = now.minusMillis(windowMilliseconds);
    Instant earlierBegin = presentBegin.minusMillis(windowMilliseconds);
    long presentWork = workBetween(jobs, presentBegin, now.plusMillis(1));
    long earlierWork = workBetween(jobs, earlierBegin, presentBegin);
    // Jobs can wait for a host for as long as their objectives leave time.
    double horizonMilliseconds = Math.max(0, hostArrivalDelay.toMillis() - slackMilliseconds);
    double growth =
        Math.min(1, horizonMilliseconds / windowMilliseconds)
            * Math.max(0, presentWork - earlierWork);
    return (long) (presentWork + growth) / windowMilliseconds;
  }

  private static long workBetween(Deque<Arrival> jobs, Instant from, Instant until) {
    return jobs.stream()
        .filter(job -> !job.acceptedAt().isBefore(from) && job.acceptedAt().isBefore(until))
        .mapToLong(Arrival::millicoreMilliseconds)
        .sum();
  }

  /**
   * A job that arrived.
   *
   * @param acceptedAt when it was accepted
   * @param millicoreMilliseconds the work it needs, in thousandths of a core times milliseconds, by
   *     the estimates of its steps
   * @param criticalPathMilliseconds how long it takes when nothing waits, by the same estimates
   * @param slackMilliseconds how much longer it may take
   */
  private record Arrival(
      Instant acceptedAt,
      long millicoreMilliseconds,
      long criticalPathMilliseconds,
      long slackMilliseconds) {
    static Arrival of(Job job) {
      long millicoreMilliseconds = 0;
      for (StepSpecification step : job.specification().steps()) {
        millicoreMilliseconds +=
            (long) step.taskCount() * step.reservedMillicores() * step.estimateMilliseconds();
      }
      long criticalPathMilliseconds = job.specification().criticalPathMilliseconds();
      return new Arrival(
          job.acceptedAt(),
          millicoreMilliseconds,
          criticalPathMilliseconds,
          job.limits().objectiveMilliseconds() - criticalPathMilliseconds);
    }
  }
}
