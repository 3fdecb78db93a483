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
 * <p>First the jobs that last, then those that can still meet their objective, the least remaining
 * work first, which lets the most of them meet it; then the late ones, which all earn the same as
 * long as they end in time, by their last useful moment; last those too late to earn anything.
 *
 * @param job the job
 * @param standing how it stands to its objective
 * @param rank orders the jobs of one standing, the lowest first
 * @param objective when it should be done
 */
record JobOrder(Job job, Standing standing, long rank, Instant objective) {
  /** After so many times its objective a job earns nothing. */
  private static final int LATE_FACTOR = 3;

  static final Comparator<JobOrder> MOST_URGENT_FIRST =
      Comparator.comparing(JobOrder::standing)
          .thenComparing(order -> order.job().limits().priority())
          .thenComparing(JobOrder::rank)
          .thenComparing(JobOrder::objective);

  /** How a job stands to its objective. */
  enum Standing {
    LASTING,
    ON_TIME,
    LATE,
    TOO_LATE
  }

  /**
   * Judges a job.
   *
   * @param now the present moment
   * @param timeOfDayMilliseconds the time of day, for occurrences that are due at one
   */
  static JobOrder of(Job job, Instant now, long timeOfDayMilliseconds) {
    int occurrence = firstUnfinished(job);
    Instant due = dueAt(job, occurrence, now, timeOfDayMilliseconds);
    long objectiveMilliseconds = job.limits().objectiveMilliseconds();
    Instant objective = due.plusMillis(objectiveMilliseconds);
    Instant lastUseful = due.plusMillis(LATE_FACTOR * objectiveMilliseconds);
    Instant soonestEnd = now.plusMillis(remainingMilliseconds(job, occurrence));
    Standing standing = standingOf(job, objective, lastUseful, soonestEnd);
    long rank =
        switch (standing) {
          case LASTING, ON_TIME -> remainingWork(job, occurrence);
          case LATE -> lastUseful.toEpochMilli();
          // By rough estimates: the one that was given up last may still earn something.
          case TOO_LATE -> -lastUseful.toEpochMilli();
        };
    return new JobOrder(job, standing, rank, objective);
  }

  private static int firstUnfinished(Job job) {
    JobSpecification specification = job.specification();
    for (int occurrence = 0; occurrence < specification.occurrences(); occurrence++) {
      int present = occurrence;
      boolean done =
          IntStream.range(0, specification.steps().size())
              .allMatch(step -> job.isDone(present, step));
      if (!done) {
        return occurrence;
      }
    }
    return 0;
  }

  private static Instant dueAt(Job job, int occurrence, Instant now, long timeOfDayMilliseconds) {
    JobSpecification specification = job.specification();
    if (!specification.isTimed()) {
      return job.acceptedAt();
    }
    long due =
        specification.firstStartMilliseconds() + occurrence * specification.intervalMilliseconds();
    return now.plusMillis(due - timeOfDayMilliseconds);
  }

  private static Standing standingOf(
      Job job, Instant objective, Instant lastUseful, Instant soonestEnd) {
    if (job.specification().isLongRunning()) {
      return Standing.LASTING;
    }
    if (!soonestEnd.isAfter(objective)) {
      return Standing.ON_TIME;
    }
    return soonestEnd.isAfter(lastUseful) ? Standing.TOO_LATE : Standing.LATE;
  }

  /** Returns the processor time that an occurrence still needs by its estimates. */
  private static long remainingWork(Job job, int occurrence) {
    JobSpecification specification = job.specification();
    long work = 0;
    for (int step = 0; step < specification.steps().size(); step++) {
      StepSpecification present = specification.steps().get(step);
      long perTask = (long) present.cpuMillicores() * present.estimateMilliseconds();
      work += perTask * job.unfinishedTasks(occurrence, step);
    }
    return work;
  }

  private static long remainingMilliseconds(Job job, int occurrence) {
    JobSpecification specification = job.specification();
    return IntStream.range(0, specification.steps().size())
        .filter(step -> !job.isDone(occurrence, step) && job.isReady(occurrence, step))
        .mapToLong(specification::chainMilliseconds)
        .max()
        .orElse(0);
  }
}
