package org.verbenawheel.replication;

import com.google.common.collect.ImmutableList;
import org.verbenawheel.identity.ProcessId;

/** What a {@link Replica} wants done, in the order given. */
public sealed interface Effect {

  /** An effect on the disk; the replica must be told once it is synced. */
  sealed interface Durable extends Effect {
    /** Returns the number of this effect; each is one higher than the one before. */
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
   * @param sequence the number of this effect
   * @param state what to write
   */
  record PersistHardState(long sequence, HardState state) implements Durable {}

  /**
   * Writes entries; those already written from the first index on are void.
   *
   * @param sequence the number of this effect
   * @param entries the entries
   */
  record PersistEntries(long sequence, ImmutableList<LogEntry> entries) implements Durable {}

  /**
   * Writes a snapshot that the leader sent and puts the state of the parts in its place.
   *
   * @param sequence the number of this effect
   * @param point where the snapshot stands
   * @param image the encoded state
   * @param keepLog whether the entries after the snapshot stay valid
   */
  record InstallSnapshot(long sequence, SnapshotPoint point, Payload image, boolean keepLog)
      implements Durable {}

  /**
   * Applies committed entries to the parts of the state.
   *
   * @param entries the entries, without gaps
   */
  record Apply(ImmutableList<LogEntry> entries) implements Effect {}

  /**
   * Sends a part of the newest snapshot in a {@link ReplicationMessage.SnapshotChunk}.
   *
   * @param to the process to send it to
   * @param chunk the message, still without its bytes and length
   */
  record SendSnapshotChunk(ProcessId to, ReplicationMessage.SnapshotChunk chunk)
      implements Effect {}

  /**
   * Removes what a snapshot made needless from the files.
   *
   * @param index the index of the snapshot
   */
  record CompactLog(long index) implements Effect {}

  /**
   * Lets reads go on once every effect before this one was carried out.
   *
   * @param tokens the reads
   */
  record AnswerReads(ImmutableList<Long> tokens) implements Effect {}

  /**
   * Refuses reads, because this replica does not lead.
   *
   * @param tokens the reads
   */
  record RefuseReads(ImmutableList<Long> tokens) implements Effect {}

  /**
   * Tells that the role or the leader changed.
   *
   * @param status the new status
   */
  record RoleChanged(ReplicaStatus status) implements Effect {}
}
