package org.verbenawheel.job;

import com.google.common.collect.ImmutableList;
import org.verbenawheel.replication.CommandReply;
import org.verbenawheel.replication.ControlCommand;

/** The commands that change jobs, and their replies. */
public final class JobCommands {
  private JobCommands() {}

  /**
   * Stores a job. A resend of a stored job changes nothing.
   *
   * @param job the caller's id for the job
   * @param queue what callers address to reach its queue
   * @param specification the checked job
   * @param limits what the queue grants its jobs
   */
  public record AcceptJob(String job, String queue, JobSpecification specification, Limits limits)
      implements ControlCommand {}

  /**
   * What a queue granted a job when it was accepted.
   *
   * @param pool the pool whose workers run it
   * @param priority 0 is the most urgent
   * @param maximumAttempts after so many failures of one task the job has failed
   * @param objectiveMilliseconds how long after its acceptance the job should be done
   */
  public record Limits(
      String pool, int priority, int maximumAttempts, long objectiveMilliseconds) {}

  /**
   * Ends a job on the caller's demand.
   *
   * @param job the job's id
   * @param queue the queue that the caller addressed
   */
  public record CancelJob(String job, String queue) implements ControlCommand {}

  /**
   * Binds tasks to workers, before the workers are told.
   *
   * @param starts one for each task
   */
  public record RecordStarts(ImmutableList<RunStart> starts) implements ControlCommand {}

  /**
   * A run of a task.
   *
   * @param task the task's name
   * @param run the number of the run, higher than those before; the same for all members of a gang
   * @param worker the id of the worker that is to run it
   */
  public record RunStart(String task, int run, String worker) {}

  /**
   * Notes how runs ended, before the workers may forget them.
   *
   * @param ends one for each run
   */
  public record RecordEnds(ImmutableList<RunEnd> ends) implements ControlCommand {}

  /**
   * The end of one run.
   *
   * @param task the task's name
   * @param run the number of the run
   * @param ending how it ended
   * @param checkpoint from where the task can go on; empty for from the start
   */
  public record RunEnd(String task, int run, RunEnding ending, String checkpoint) {}

  /**
   * Answers a command on one job.
   *
   * @param known whether the queue has such a job
   */
  public record JobReply(boolean known) implements CommandReply {}

  /** Answers a command on runs. */
  public record RunsRecorded() implements CommandReply {}
}
