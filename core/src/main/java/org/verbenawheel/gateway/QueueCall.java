package org.verbenawheel.gateway;

import java.util.Optional;
import org.verbenawheel.job.JobSpecification;
import org.verbenawheel.peer.PeerMessage;

/**
 * A caller's request on a queue, as an entry passes it to the leader. Each may be sent again: the
 * caller's id for the job makes a submission idempotent.
 *
 * @param operation what the caller asks for
 * @param host the host name that the caller addressed, without a port
 * @param path the path that the caller addressed
 * @param specification the job, for a submission
 */
public record QueueCall(
    Operation operation, String host, String path, Optional<JobSpecification> specification)
    implements PeerMessage {

  /** What a caller asks for. */
  public enum Operation {
    /** Store a job. */
    SUBMIT,
    /** Tell how far a job is, or how many jobs of a queue wait. */
    READ,
    /** End a job. */
    CANCEL
  }
}
