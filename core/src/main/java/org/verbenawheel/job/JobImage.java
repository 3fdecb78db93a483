package org.verbenawheel.job;

import com.google.common.collect.ImmutableList;
import java.time.Instant;
import java.util.Optional;
import org.verbenawheel.job.JobCommands.AcceptJob;
import org.verbenawheel.peer.PeerMessage;

/**
 * One job in a snapshot.
 *
 * @param accepted the command that stored it
 * @param acceptedAt when it was stored
 * @param phase how far it is
 * @param endedAt when it ended
 * @param tasks its tasks, by occurrence, step and index
 */
record JobImage(
    AcceptJob accepted,
    Instant acceptedAt,
    JobPhase phase,
    Optional<Instant> endedAt,
    ImmutableList<TaskImage> tasks)
    implements PeerMessage {

  /** One task in a snapshot. */
  record TaskImage(
      Task.Phase phase,
      int run,
      int failures,
      int lastFailedRun,
      String worker,
      String checkpoint) {}

  /** All jobs. */
  record Jobs(ImmutableList<JobImage> jobs) implements PeerMessage {}
}
