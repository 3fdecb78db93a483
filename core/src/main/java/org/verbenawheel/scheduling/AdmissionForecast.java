package org.verbenawheel.scheduling;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.verbenawheel.job.JobCommands.AcceptJob;
import org.verbenawheel.job.JobSpecification;
import org.verbenawheel.job.StepSpecification;

/**
 * Decides whether a job that arrives at an overloaded pool is refused. Answers the load of a pool
 * whose queues ask more than its hosts can do for longer than callers wait: a job that could end
 * only after its last useful time would take capacity from others and help nobody, while a caller
 * that is refused at once can come back when the backlog is gone.
 *
 * <p>A job waits for the work before it and for newcomers that overtake it, so what smaller jobs
 * keep asking for is taken off the capacity. Estimates are the callers', and hosts may be lent
 * meanwhile, so only jobs that would end after their last useful time are refused. Reads no clock
 * and makes no calls.
 */
public final class AdmissionForecast {
  /** Share of the capacity that a waiting job is counted on to get, whatever overtakes it. */
  private static final double LEAST_SHARE = 0.05;

  /** No surge is forecast further ahead; a caller returns after one to two times this. */
  private static final Duration LONGEST_RETURN = Duration.ofSeconds(20);

  private AdmissionForecast() {}

  /**
   * Decides on one job.
   *
   * @param job the job, with the limits that its queue sets
   * @param backlog the jobs that wait for its pool
   * @param arriving the work that its pool has accepted lately
   * @param millicores the capacity of the pool's hosts, arriving ones included, without what
   *     long-running tasks hold, in thousandths of a core; 0 if nothing is known of them
   * @return when the caller should come back, if the job is to be refused; else empty
   */
  public static Optional<Duration> retryAfter(
      AcceptJob job, PoolBacklog backlog, ArrivingWork arriving, long millicores, Instant now) {
    JobSpecification specification = job.specification();
    if (millicores <= 0 || specification.isLongRunning() || specification.isTimed()) {
      return Optional.empty();
    }
    Duration objective = Duration.ofMillis(job.limits().objectiveMilliseconds());
    Duration criticalPath = Duration.ofMillis(specification.criticalPathMilliseconds());
    long work = workOf(specification);
    long leftBySmaller = leftOver(millicores, arriving.millicores(now, arrived -> arrived < work));
    Duration onTimeEnd = backlog.waitOnTime(work, leftBySmaller).plus(criticalPath);
    if (onTimeEnd.compareTo(objective) <= 0) {
      return Optional.empty();
    }
    long leftByAll = leftOver(millicores, arriving.millicores(now, arrived -> true));
    Duration lateEnd = backlog.waitLate(leftByAll).plus(criticalPath);
    if (lateEnd.compareTo(objective.multipliedBy(RankedJob.LATE_FACTOR)) <= 0) {
      return Optional.empty();
    }
    Duration untilOnTime = lateEnd.minus(objective);
    Duration shortest = untilOnTime.compareTo(LONGEST_RETURN) < 0 ? untilOnTime : LONGEST_RETURN;
    return Optional.of(shortest.plus(spread(job.job(), shortest)));
  }

  private static long leftOver(long millicores, long arrivingMillicores) {
    return Math.max(
        millicores - arrivingMillicores, Math.max(1, (long) (millicores * LEAST_SHARE)));
  }

  /** Returns a job's work by its estimates, in thousandths of a core times milliseconds. */
  public static long workOf(JobSpecification specification) {
    long work = 0;
    for (StepSpecification step : specification.steps()) {
      work += (long) step.taskCount() * step.cpuMillicores() * step.estimateMilliseconds();
    }
    return work;
  }

  /**
   * Returns a part of a duration that depends only on the job's id, so that callers which were
   * refused together do not return together.
   */
  private static Duration spread(String job, Duration longest) {
    long share = Math.floorMod(job.hashCode() * 0x9E3779B97F4A7C15L, 1_000L);
    return longest.multipliedBy(share).dividedBy(1_000);
  }
}
