package org.verbenawheel.gateway;

import com.google.common.collect.ImmutableList;
import java.util.Optional;
import org.verbenawheel.identity.ProcessId;
import org.verbenawheel.job.JobPhase;
import org.verbenawheel.peer.PeerMessage;

/**
 * What a control process answers to a {@link QueueCall}.
 *
 * @param outcome the answer
 * @param phase how far the job is, for {@link Outcome#JOB_READ}
 * @param waitingJobs how many jobs of the queue wait, for {@link Outcome#QUEUE_READ}
 * @param leader who leads, for {@link Outcome#NOT_LEADER}, if known
 * @param controls all control processes, for {@link Outcome#NOT_LEADER}
 * @param detail what is wrong, for a person
 */
public record QueueAnswer(
    Outcome outcome,
    Optional<JobPhase> phase,
    long waitingJobs,
    Optional<ProcessId> leader,
    ImmutableList<ProcessId> controls,
    String detail)
    implements PeerMessage {

  /** Kinds of answer. */
  public enum Outcome {
    /** The job is stored. */
    ACCEPTED,
    /** The job is cancelled, or had ended before. */
    CANCELLED,
    /** How far a job is. */
    JOB_READ,
    /** How many jobs of the queue wait. */
    QUEUE_READ,
    /** No queue is addressed so. */
    NO_SUCH_QUEUE,
    /** The queue has no such job. */
    NO_SUCH_JOB,
    /** The request can never succeed. */
    INVALID,
    /** There is no configuration yet; nothing was done. */
    NOT_CONFIGURED,
    /** This process does not lead; nothing was done. */
    NOT_LEADER,
    /** Nothing was done, and the request may be sent again. */
    NOT_DONE,
    /** It is not known whether the request was carried out; it may be sent again. */
    UNKNOWN
  }

  /** Returns an answer that is its outcome only. */
  public static QueueAnswer of(Outcome outcome) {
    return of(outcome, "");
  }

  /** Returns an answer with a detail for a person. */
  public static QueueAnswer of(Outcome outcome, String detail) {
    return new QueueAnswer(
        outcome, Optional.empty(), 0, Optional.empty(), ImmutableList.of(), detail);
  }

  /** Returns the answer that tells how far a job is. */
  public static QueueAnswer ofJob(JobPhase phase) {
    return new QueueAnswer(
        Outcome.JOB_READ, Optional.of(phase), 0, Optional.empty(), ImmutableList.of(), "");
  }

  /** Returns the answer that tells how many jobs wait. */
  public static QueueAnswer ofQueue(long waitingJobs) {
    return new QueueAnswer(
        Outcome.QUEUE_READ,
        Optional.empty(),
        waitingJobs,
        Optional.empty(),
        ImmutableList.of(),
        "");
  }

  /** Returns the answer of a process that does not lead. */
  public static QueueAnswer notLeader(
      Optional<ProcessId> leader, ImmutableList<ProcessId> controls) {
    return new QueueAnswer(Outcome.NOT_LEADER, Optional.empty(), 0, leader, controls, "");
  }
}
