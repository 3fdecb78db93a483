package org.verbenawheel.operator;

import com.google.common.collect.ImmutableList;
import java.util.Optional;
import org.verbenawheel.job.Job;
import org.verbenawheel.job.Task;

/**
 * One job with its tasks.
 *
 * @param job the job
 * @param tasks its tasks, ordered by occurrence, step and index
 */
public record JobDetails(JobReport job, ImmutableList<TaskReport> tasks) {

  /** Returns the details of a job. */
  public static JobDetails of(Job job) {
    return new JobDetails(
        JobReport.of(job),
        job.allTasks().stream().map(TaskReport::of).collect(ImmutableList.toImmutableList()));
  }

  /**
   * One task.
   *
   * @param task its name
   * @param phase its phase
   * @param run the number of its latest run; 0 before the first
   * @param failures how many of its runs failed
   * @param worker the worker that it is bound to; empty if it is not bound
   */
  public record TaskReport(
      String task, Task.Phase phase, int run, int failures, Optional<String> worker) {
    static TaskReport of(Task task) {
      return new TaskReport(
          task.id().text(), task.phase(), task.run(), task.failures(), task.worker());
    }
  }
}
