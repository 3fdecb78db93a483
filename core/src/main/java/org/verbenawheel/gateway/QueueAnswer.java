package org.verbenawheel.gateway;

import com.google.common.collect.ImmutableList;
import java.util.Optional;
import org.verbenawheel.identity.ProcessId;
import org.verbenawheel.job.JobPhase;
import org.verbenawheel.peer.PeerMessage;

/**
 * The reply of a control process to a {@link QueueCall}.
 *
 * @param outcome the result
 * @param phase the state of the job, for {@link Outcome#JOB_READ}
 * @param waitingJobs how many jobs of the queue have no started task, for {@link
 *     Outcome#QUEUE_READ}
 * @param leader the current leader, for {@link Outcome#NOT_LEADER}; empty if unknown
 * @param controls all control processes, for {@link Outcome#NOT_LEADER}
 * @param detail the error in a form for people; may be empty
 */
public record QueueAnswer(
    Outcome outcome,
    Optional<JobPhase> phase,
    long waitingJobs,
    Optional<ProcessId> leader,
    ImmutableList<ProcessId> controls,
    String detail)
    implements PeerMessage {

  /** The results of a request. */
  public enum Outcome {
    /** The job is stored in the replicated state. */
    ACCEPTED,
    /** The job is cancelled, or had ended before. */
    CANCELLED,
    /** The answer holds the state of a job. */
    JOB_READ,
    /** The answer holds the number of waiting jobs of a queue. */
    QUEUE_READ,
    /** The configuration has no queue for this host and path. */
    NO_SUCH_QUEUE,
    /** The queue has no such job. */
    NO_SUCH_JOB,
    /** The request is malformed and will never succeed. */
    INVALID,
    /** The operators have not sent a configuration yet; nothing was done. */
    NOT_CONFIGURED,
    /** This process is not the leader; nothing was done. */
    NOT_LEADER,
    /** Nothing was done; the request may be resent. */
    NOT_DONE,
    /** It is unknown whether the request was carried out; it may be resent. */
    UNKNOWN
  }

  /** Returns an answer with an outcome and no detail. */
  public static QueueAnswer of(Outcome outcome) {
    return of(outcome, "");
  }

  /** Returns an answer with an outcome and an error detail for people. */
  public static QueueAnswer of(Outcome outcome, String detail) {
    return new QueueAnswer(
        outcome, Optional.empty(), 0, Optional.empty(), ImmutableList.of(), detail);
  }

  /** Returns the answer with the state of a job. */
  public static QueueAnswer ofJob(JobPhase phase) {
    return new QueueAnswer(
        Outcome.JOB_READ, Optional.of(phase), 0, Optional.empty(), ImmutableList.of(), "");
  }

  /** Returns the answer with the number of waiting jobs of a queue. */
  public static QueueAnswer ofQueue(long waitingJobs) {
    return new QueueAnswer(
        Outcome.QUEUE_READ,
        Optional.empty(),
        waitingJobs,
        Optional.empty(),
        ImmutableList.of(),
        "");
  }

  /** Returns the answer of a process that is not the leader. */
  public static QueueAnswer notLeader(
      Optional<ProcessId> leader, ImmutableList<ProcessId> controls) {
    return new QueueAnswer(Outcome.NOT_LEADER, Optional.empty(), 0, leader, controls, "");
  }
}
