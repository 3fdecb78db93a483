package org.verbenawheel.operator;

import com.google.common.collect.ImmutableList;
import java.time.Instant;
import org.verbenawheel.job.Job;
import org.verbenawheel.job.JobPhase;
import org.verbenawheel.job.Task;

/**
 * The summary of a job that operators get.
 *
 * @param id the caller's id for the job
 * @param queue the name by which callers address its queue
 * @param pool the pool that its queue named when it was accepted
 * @param phase its phase
 * @param acceptedAt when it was stored, by the leader's clock at that time
 * @param tasks how many tasks it has
 * @param boundTasks how many of them are bound to a worker
 * @param unfinishedTasks how many of them are not done
 * @param failures how many runs of its tasks failed
 */
public record JobReport(
    String id,
    String queue,
    String pool,
    JobPhase phase,
    Instant acceptedAt,
    int tasks,
    int boundTasks,
    int unfinishedTasks,
    int failures) {

  /** Returns the report of a job. */
  public static JobReport of(Job job) {
    ImmutableList<Task> tasks = job.allTasks();
    return new JobReport(
        job.id(),
        job.queue(),
        job.limits().pool(),
        job.phase(),
        job.acceptedAt(),
        tasks.size(),
        job.boundTasks(),
        job.unfinishedTasks(),
        tasks.stream().mapToInt(Task::failures).sum());
  }
}
