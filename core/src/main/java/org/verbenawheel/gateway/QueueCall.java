package org.verbenawheel.gateway;

import java.util.Optional;
import org.verbenawheel.job.JobSpecification;
import org.verbenawheel.peer.PeerMessage;

/**
 * A caller's request to a queue, as an entry process forwards it to the leader. Every request may
 * be resent: the caller's id for the job makes a submission idempotent.
 *
 * @param operation the requested operation
 * @param host the host name that the caller addressed, without a port
 * @param path the path that the caller addressed
 * @param specification the job, for {@link Operation#SUBMIT}
 */
public record QueueCall(
    Operation operation, String host, String path, Optional<JobSpecification> specification)
    implements PeerMessage {

  /** The operations on a queue. */
  public enum Operation {
    /** Store a job. */
    SUBMIT,
    /** Read the state of a job or, if the path holds no job id, the number of waiting jobs. */
    READ,
    /** Cancel a job. */
    CANCEL
  }
}
