package org.verbenawheel.scheduling;

import java.time.Instant;
import java.util.Comparator;
import java.util.stream.IntStream;
import org.verbenawheel.job.Job;
import org.verbenawheel.job.JobSpecification;
import org.verbenawheel.job.StepSpecification;

/**
 * Orders the jobs of a pool by what they can still earn.
 *
 * <p>First the jobs that last, then those that can still meet their objective, the earliest first;
 * then the late ones; last those too late to earn anything.
 */
record JobOrder(Job job, Standing standing, Instant objective, long remainingWork) {
  /** After so many times its objective a job earns nothing. */
  private static final int LATE_FACTOR = 3;

  static final Comparator<JobOrder> MOST_URGENT_FIRST =
      Comparator.comparing(JobOrder::standing)
          .thenComparing(order -> order.job().limits().priority())
          .thenComparing(JobOrder::remainingWork)
          .thenComparing(JobOrder::objective);

  /** How a job stands to its objective. */
  enum Standing {
    LASTING,
    ON_TIME,
    LATE,
    TOO_LATE
  }

  static JobOrder of(Job job, Instant now) {
    long objectiveMilliseconds = job.limits().objectiveMilliseconds();
    Instant objective = job.acceptedAt().plusMillis(objectiveMilliseconds);
    return new JobOrder(job, standingOf(job, objective, now), objective, remainingWork(job));
  }

  private static Standing standingOf(Job job, Instant objective, Instant now) {
    if (job.specification().isLongRunning()) {
      return Standing.LASTING;
    }
    Instant soonestEnd = now.plusMillis(remainingMilliseconds(job));
    Instant lastUseful =
        job.acceptedAt().plusMillis(LATE_FACTOR * job.limits().objectiveMilliseconds());
    if (!soonestEnd.isAfter(objective)) {
      return Standing.ON_TIME;
    }
    return soonestEnd.isAfter(lastUseful) ? Standing.TOO_LATE : Standing.LATE;
  }

  /** Returns the processor time that the job still needs by its estimates. */
  private static long remainingWork(Job job) {
    JobSpecification specification = job.specification();
    long work = 0;
    for (int step = 0; step < specification.steps().size(); step++) {
      StepSpecification present = specification.steps().get(step);
      long perTask = (long) present.cpuMillicores() * present.estimateMilliseconds();
      work += perTask * job.unfinishedTasks(0, step);
    }
    return work;
  }

  private static long remainingMilliseconds(Job job) {
    JobSpecification specification = job.specification();
    return IntStream.range(0, specification.steps().size())
        .filter(step -> !job.isDone(0, step) && job.isReady(0, step))
        .mapToLong(specification::chainMilliseconds)
        .max()
        .orElse(0);
  }
}
