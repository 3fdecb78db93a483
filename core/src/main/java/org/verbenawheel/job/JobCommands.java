package org.verbenawheel.job;

import com.google.common.collect.ImmutableList;
import org.verbenawheel.replication.CommandReply;
import org.verbenawheel.replication.CommandSize;
import org.verbenawheel.replication.ControlCommand;

/**
 * The replicated commands that change jobs, and their replies. {@link JobRegistry} applies them.
 */
public final class JobCommands {
  private JobCommands() {}

  /**
   * Stores a job. Changes nothing if a job with this id is stored already, so it can be resent.
   *
   * @param job the caller's id for the job
   * @param queue the host name and path prefix that callers address to reach its queue
   * @param specification the validated job
   * @param limits the pool, priority and limits that the queue sets for the job
   */
  public record AcceptJob(String job, String queue, JobSpecification specification, Limits limits)
      implements ControlCommand {
    /** Returns this command with a specification that has neither payload nor steps. */
    AcceptJob withoutWork() {
      return new AcceptJob(
          job, queue, new JobSpecification("", ImmutableList.of(), 1, 0, 0), limits);
    }
  }

  /**
   * The queue's settings for a job, fixed when it is accepted: later changes of the queue's
   * configuration don't alter them.
   *
   * @param pool the pool whose workers run it
   * @param priority 0 is the most urgent
   * @param maximumAttempts the job fails when one of its tasks has failed this many times
   * @param objectiveMilliseconds how long after its acceptance the job should be done; for a timed
   *     occurrence, how long after its start time
   */
  public record Limits(
      String pool, int priority, int maximumAttempts, long objectiveMilliseconds) {}

  /**
   * Ends a job at the caller's request. Its bound tasks stay bound until their ends are recorded; a
   * job that has ended is left unchanged. If the queue has no such job, one that is submitted later
   * is stored as cancelled, as long as an ended job would be kept.
   *
   * @param job the job's id
   * @param queue the host name and path prefix that the caller addressed
   */
  public record CancelJob(String job, String queue) implements ControlCommand {}

  /**
   * Binds tasks to workers. The leader commits it before it sends the runs to the workers. A start
   * is ignored if its job has ended, its task does not wait or its run number is not higher than
   * the task's latest.
   *
   * @param starts one for each task
   */
  public record RecordStarts(ImmutableList<RunStart> starts) implements ControlCommand {}

  /**
   * The start of one run of a task.
   *
   * @param task the task's id as text, see {@link TaskId#text}
   * @param run the number of the run, higher than those before; the same for all members of a gang
   * @param worker the id of the worker that is to run it
   */
  public record RunStart(String task, int run, String worker) {
    /** Returns an upper limit of the length in a command, in bytes. */
    public int maximumEncodedBytes() {
      return CommandSize.ofRecord(task, worker);
    }
  }

  /**
   * Records how runs ended. The leader commits it before the workers may delete their results.
   *
   * @param ends one for each run
   */
  public record RecordEnds(ImmutableList<RunEnd> ends) implements ControlCommand {}

  /**
   * The end of one run.
   *
   * @param task the task's id as text, see {@link TaskId#text}
   * @param run the number of the run
   * @param ending how it ended
   * @param checkpoint the checkpoint that the next run can resume from; empty if it made none
   */
  public record RunEnd(String task, int run, RunEnding ending, String checkpoint) {
    /** Returns an upper limit of the length in a command, in bytes. */
    public int maximumEncodedBytes() {
      return CommandSize.ofRecord(task, ending.name(), checkpoint);
    }
  }

  /**
   * Replies to {@link AcceptJob} and {@link CancelJob}.
   *
   * @param known whether the queue has a job with the id; always true for {@link AcceptJob}
   */
  public record JobReply(boolean known) implements CommandReply {}

  /**
   * Replies to {@link CancelJob} if the queue has no such job and too many cancellations of such
   * jobs are stored. A job with the id that is submitted later would run.
   */
  public record CancellationRefused() implements CommandReply {}

  /** Replies to {@link RecordStarts} and {@link RecordEnds}. */
  public record RunsRecorded() implements CommandReply {}
}
