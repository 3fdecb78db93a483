package org.verbenawheel.replication;

import com.google.common.collect.ImmutableList;
import org.verbenawheel.identity.ProcessId;

/** An action that a {@link Replica} requests; the caller must carry them out in order. */
public sealed interface Effect {

  /** A write to disk; {@link Replica#onPersisted} must be called once it is synced. */
  sealed interface Durable extends Effect {
    /** Returns the number of this write; each is one higher than the previous one. */
    long sequence();
  }

  /**
   * Sends a message.
   *
   * @param to the process to send it to
   * @param message the message
   */
  record Send(ProcessId to, ReplicationMessage message) implements Effect {}

  /**
   * Writes the hard state.
   *
   * @param sequence the number of this write
   * @param state what to write
   */
  record PersistHardState(long sequence, HardState state) implements Durable {}

  /**
   * Writes entries. Entries written earlier with the first index or a higher one become invalid.
   *
   * @param sequence the number of this write
   * @param entries the entries
   */
  record PersistEntries(long sequence, ImmutableList<LogEntry> entries) implements Durable {}

  /**
   * Writes a snapshot that the leader sent, and replaces the state of the parts by it.
   *
   * @param sequence the number of this write
   * @param point the position of the snapshot in the log
   * @param state the encoded state
   * @param keepLog whether the entries after the snapshot stay valid
   */
  record InstallSnapshot(long sequence, SnapshotPoint point, Payload state, boolean keepLog)
      implements Durable {}

  /**
   * Applies committed entries to the parts of the state.
   *
   * @param entries the entries, in order and without gaps
   */
  record Apply(ImmutableList<LogEntry> entries) implements Effect {}

  /**
   * Sends a chunk of the newest snapshot, unless a newer one has replaced it.
   *
   * @param to the process to send it to
   * @param chunk the message, without its bytes and the total length
   */
  record SendSnapshotChunk(ProcessId to, ReplicationMessage.SnapshotChunk chunk)
      implements Effect {}

  /**
   * Deletes the log files that hold only entries covered by a snapshot.
   *
   * @param index the index of the snapshot
   */
  record CompactLog(long index) implements Effect {}

  /**
   * Runs reads on the state, after all effects before this one were carried out.
   *
   * @param tokens the tokens of the reads
   */
  record AnswerReads(ImmutableList<Long> tokens) implements Effect {}

  /**
   * Fails reads, because this replica does not lead.
   *
   * @param tokens the tokens of the reads
   */
  record RefuseReads(ImmutableList<Long> tokens) implements Effect {}

  /**
   * Reports that this replica, as leader, decided a change of the members.
   *
   * @param change the change, which is not committed yet
   * @param respondingVoters how many voters replied within the election timeout
   */
  record MemberChangeDecided(MemberChange change, int respondingVoters) implements Effect {}

  /**
   * Reports that this replica began to ask for a leader that takes it in again.
   *
   * @param membership its part as far as its own log says
   */
  record Reintroduced(Membership membership) implements Effect {}

  /**
   * Reports that the role, the term or the leader changed.
   *
   * @param status the new status
   */
  record RoleChanged(ReplicaStatus status) implements Effect {}
}
