package org.verbenawheel.replication;

import java.time.Instant;
import java.util.Optional;
import org.verbenawheel.identity.ProcessId;
import org.verbenawheel.peer.PeerMessage;

/** A message between replicas. It may be lost, delayed, duplicated or reordered. */
public sealed interface ReplicationMessage extends PeerMessage {

  /** A message between replicas that know each other's identity. */
  sealed interface Addressed extends ReplicationMessage {
    /** Returns the sender, the receiver and the sender's term. */
    Header header();
  }

  /**
   * The sender and receiver of a message. A replica ignores messages to the identity that it had
   * before it lost its data.
   *
   * @param cluster the cluster of the sender
   * @param from the sender
   * @param to the receiver
   * @param term the sender's term
   */
  record Header(ClusterId cluster, ReplicaId from, ReplicaId to, long term) {}

  /**
   * A leader's heartbeat, with the entries that the receiver lacks.
   *
   * @param header the sender, the receiver and the term
   * @param previousIndex the index of the entry before the first one sent
   * @param previousTerm the term of that entry
   * @param commitIndex the index of the last committed entry
   * @param round the number of the leader's last heartbeat, which confirms reads
   * @param sentAt the leader's time, from which its lease is computed
   * @param batch the entries, limited in bytes
   */
  record Append(
      Header header,
      long previousIndex,
      long previousTerm,
      long commitIndex,
      long round,
      Instant sentAt,
      EntryBatch batch)
      implements Addressed {}

  /**
   * The reply to {@link Append}.
   *
   * @param header the sender, the receiver and the term
   * @param accepted whether the sender had the entry before the first one sent
   * @param matchIndex if accepted, the index of the last entry on the sender's disk that equals the
   *     leader's; otherwise the index of the last entry that may be equal
   * @param round the round of the {@link Append}
   * @param sentAt the time of the {@link Append}
   */
  record AppendReply(Header header, boolean accepted, long matchIndex, long round, Instant sentAt)
      implements Addressed {}

  /**
   * Requests a vote.
   *
   * @param header the sender, the receiver and the term of the vote
   * @param lastIndex the index of the sender's last entry
   * @param lastTerm the term of that entry
   * @param preVote whether this only asks if the receiver would grant the vote
   * @param transfer whether the leader itself requested this election
   */
  record VoteRequest(
      Header header, long lastIndex, long lastTerm, boolean preVote, boolean transfer)
      implements Addressed {}

  /**
   * The reply to {@link VoteRequest}.
   *
   * @param header the sender, the receiver and the sender's term; for a granted pre-vote the term
   *     of the request
   * @param preVote whether the request was a pre-vote
   * @param granted whether the sender votes for the receiver
   */
  record VoteReply(Header header, boolean preVote, boolean granted) implements Addressed {}

  /**
   * A part of a snapshot, for a replica that lacks entries that the leader has compacted.
   *
   * @param header the sender, the receiver and the term
   * @param point the position of the snapshot in the log
   * @param offset the position of the part in the snapshot, in bytes
   * @param totalLength the length of the snapshot in bytes
   * @param part the bytes of the part
   * @param sentAt the leader's time, from which its lease is computed
   */
  record SnapshotChunk(
      Header header,
      SnapshotPoint point,
      long offset,
      long totalLength,
      Payload part,
      Instant sentAt)
      implements Addressed {}

  /**
   * The reply to {@link SnapshotChunk}.
   *
   * @param header the sender, the receiver and the term
   * @param index the index of the snapshot
   * @param nextOffset the offset of the first byte that the sender lacks
   * @param installed whether the whole snapshot is on the sender's disk
   * @param sentAt the time of the {@link SnapshotChunk}
   */
  record SnapshotReply(
      Header header, long index, long nextOffset, boolean installed, Instant sentAt)
      implements Addressed {}

  /**
   * Asks a voter to start an election at once, because the leader is stopping.
   *
   * @param header the sender, the receiver and the term
   */
  record TakeOver(Header header) implements Addressed {}

  /**
   * Announces that the sender's process is being stopped. A learner that is ready takes the place
   * of a voter that leaves.
   *
   * @param header the sender, the receiver and the term
   */
  record Departure(Header header) implements Addressed {}

  /**
   * Announces a replica whose log is empty. A leader may add it as a member; an empty replica may
   * found a cluster with it.
   *
   * @param process the sender's process
   * @param replica the sender's identity
   * @param cluster the sender's cluster; empty if it has none
   */
  record Introduction(ProcessId process, ReplicaId replica, Optional<ClusterId> cluster)
      implements ReplicationMessage {}

  /**
   * Announces a replica that has a log and receives no message from a leader. A leader of its
   * cluster adds it as a learner if it is no member any more.
   *
   * @param process the sender's process
   * @param replica the sender's identity
   * @param cluster the sender's cluster
   */
  record Reintroduction(ProcessId process, ReplicaId replica, ClusterId cluster)
      implements ReplicationMessage {}

  /**
   * Informs an empty replica that a new cluster was founded with it.
   *
   * @param to the identity of the new member
   * @param founding the first entry of the log
   */
  record Founding(ReplicaId to, LogEntry founding) implements ReplicationMessage {}
}
