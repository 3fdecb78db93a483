package org.verbenawheel.job;

import com.google.common.collect.ImmutableList;
import java.time.Instant;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.verbenawheel.job.JobCommands.AcceptJob;
import org.verbenawheel.peer.PeerMessage;

/**
 * The form of a job in a snapshot of the replicated state.
 *
 * @param accepted the command that stored the job
 * @param acceptedAt when it was stored, by the clock of the leader at that time
 * @param phase whether it is queued, runs or has ended
 * @param endedAt when it ended; empty if it has not
 * @param tasks its tasks, ordered by occurrence, step and index
 */
record JobSnapshot(
    AcceptJob accepted,
    Instant acceptedAt,
    JobPhase phase,
    Optional<Instant> endedAt,
    ImmutableList<TaskSnapshot> tasks)
    implements PeerMessage {

  /** The form of a task in a snapshot; {@link Task} explains the fields. */
  record TaskSnapshot(
      Task.Phase phase,
      int run,
      int failures,
      int lastFailedRun,
      String worker,
      String checkpoint) {}

  /** The form of an entry of {@link EarlyCancellations}. */
  record EarlyCancellation(String queue, String job, Instant cancelledAt) {}

  /**
   * The whole snapshot of {@link JobRegistry}.
   *
   * @param jobs all jobs in the order of their acceptance
   * @param earlyCancellations the oldest first; absent in snapshots of earlier versions
   */
  record Jobs(
      ImmutableList<JobSnapshot> jobs,
      @Nullable ImmutableList<EarlyCancellation> earlyCancellations)
      implements PeerMessage {
    @Override
    public ImmutableList<EarlyCancellation> earlyCancellations() {
      return earlyCancellations == null ? ImmutableList.of() : earlyCancellations;
    }
  }
}
