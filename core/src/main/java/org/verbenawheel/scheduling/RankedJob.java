package org.verbenawheel.scheduling;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.stream.IntStream;
import org.verbenawheel.job.Job;
import org.verbenawheel.job.JobSpecification;
import org.verbenawheel.job.StepSpecification;

/**
 * A job with the keys that decide how early it is scheduled, compared by {@link
 * #MOST_URGENT_FIRST}.
 *
 * <p>The status decides first, then the queue's priority, then the rank. Long-running jobs go
 * first. Next are the jobs that can still meet their objective, the least remaining work first,
 * which lets the most of them meet it. Next are the late ones: all of them have the same value if
 * they end before their last useful time, so the earliest such time goes first. Jobs that can't end
 * before it have no value left and go last.
 *
 * @param job the job
 * @param status whether the job can still meet its objective
 * @param rank orders the jobs of one status and priority, the lowest first
 * @param objectiveTime when the job should be done
 */
record RankedJob(Job job, ObjectiveStatus status, long rank, Instant objectiveTime) {
  /** A job that takes longer than this multiple of its objective has no value. */
  private static final int LATE_FACTOR = 3;

  static final Comparator<RankedJob> MOST_URGENT_FIRST =
      Comparator.comparing(RankedJob::status)
          .thenComparing(ranked -> ranked.job().limits().priority())
          .thenComparing(RankedJob::rank)
          .thenComparing(RankedJob::objectiveTime);

  /** A job that has waited for this long after its objective is overdue. */
  private static final Duration OVERDUE_AFTER = Duration.ofSeconds(30);

  /** Whether a job can still meet its objective, by the estimates of its steps. */
  enum ObjectiveStatus {
    /** The job has a step that runs until the job is cancelled. */
    LONG_RUNNING,
    /** The job can end before its objective. */
    ON_TIME,
    /** The job can end only after its objective, but before its last useful time. */
    LATE,
    /** The job can't end before its last useful time. */
    TOO_LATE
  }

  /**
   * Ranks a job by its first occurrence that is not done.
   *
   * @param now the present time, comparable to the job's acceptance time
   * @param timeOfDayMilliseconds the present time in milliseconds since 1970, comparable to the
   *     start times of occurrences
   */
  static RankedJob of(Job job, Instant now, long timeOfDayMilliseconds) {
    int occurrence = firstUnfinishedOccurrence(job);
    Instant dueTime = dueTime(job, occurrence, now, timeOfDayMilliseconds);
    long objectiveMilliseconds = job.limits().objectiveMilliseconds();
    Instant objectiveTime = dueTime.plusMillis(objectiveMilliseconds);
    Instant lastUsefulTime = dueTime.plusMillis(LATE_FACTOR * objectiveMilliseconds);
    Instant earliestEnd = now.plusMillis(remainingMilliseconds(job, occurrence));
    ObjectiveStatus status = statusOf(job, objectiveTime, lastUsefulTime, earliestEnd);
    long rank =
        switch (status) {
          case LONG_RUNNING, ON_TIME -> remainingWork(job, occurrence);
          case LATE -> lastUsefulTime.toEpochMilli();
          // Estimates are rough: a job that became too late last is the likeliest to end in time.
          case TOO_LATE -> -lastUsefulTime.toEpochMilli();
        };
    return new RankedJob(job, status, rank, objectiveTime);
  }

  /** Returns whether the job has waited for long after its objective. */
  boolean isOverdue(Instant now) {
    return now.isAfter(objectiveTime.plus(OVERDUE_AFTER));
  }

  private static int firstUnfinishedOccurrence(Job job) {
    JobSpecification specification = job.specification();
    for (int occurrence = 0; occurrence < specification.occurrences(); occurrence++) {
      int candidate = occurrence;
      boolean done =
          IntStream.range(0, specification.steps().size())
              .allMatch(step -> job.isDone(candidate, step));
      if (!done) {
        return occurrence;
      }
    }
    return 0;
  }

  private static Instant dueTime(Job job, int occurrence, Instant now, long timeOfDayMilliseconds) {
    JobSpecification specification = job.specification();
    if (!specification.isTimed()) {
      return job.acceptedAt();
    }
    long dueMilliseconds =
        specification.firstStartMilliseconds() + occurrence * specification.intervalMilliseconds();
    return now.plusMillis(dueMilliseconds - timeOfDayMilliseconds);
  }

  private static ObjectiveStatus statusOf(
      Job job, Instant objectiveTime, Instant lastUsefulTime, Instant earliestEnd) {
    if (job.specification().isLongRunning()) {
      return ObjectiveStatus.LONG_RUNNING;
    }
    if (!earliestEnd.isAfter(objectiveTime)) {
      return ObjectiveStatus.ON_TIME;
    }
    return earliestEnd.isAfter(lastUsefulTime) ? ObjectiveStatus.TOO_LATE : ObjectiveStatus.LATE;
  }

  /**
   * Returns the work left in an occurrence by its estimates, in thousandths of a core times
   * milliseconds.
   */
  private static long remainingWork(Job job, int occurrence) {
    JobSpecification specification = job.specification();
    long work = 0;
    for (int step = 0; step < specification.steps().size(); step++) {
      StepSpecification stepSpecification = specification.steps().get(step);
      long perTask =
          (long) stepSpecification.cpuMillicores() * stepSpecification.estimateMilliseconds();
      work += perTask * job.unfinishedTasks(occurrence, step);
    }
    return work;
  }

  /** Returns the longest chain of estimates from a step that is ready to the end. */
  private static long remainingMilliseconds(Job job, int occurrence) {
    JobSpecification specification = job.specification();
    return IntStream.range(0, specification.steps().size())
        .filter(step -> !job.isDone(occurrence, step) && job.isReady(occurrence, step))
        .mapToLong(job::criticalPathMillisecondsFrom)
        .max()
        .orElse(0);
  }
}
