package org.verbenawheel.replication;

import java.time.Instant;
import java.util.Optional;
import org.verbenawheel.identity.ProcessId;
import org.verbenawheel.peer.PeerMessage;

/** A message between the replicas of a cluster. Each may be lost, late, repeated or reordered. */
public sealed interface ReplicationMessage extends PeerMessage {

  /** A message between replicas that know each other's identity. */
  sealed interface Addressed extends ReplicationMessage {
    /** Returns who sent the message to whom, and in which term. */
    Header header();
  }

  /**
   * Who sent a message to whom. A replica ignores messages for an identity that it had before it
   * lost its data.
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
   * @param previousIndex the entry before the first one sent
   * @param previousTerm the term of that entry
   * @param commitIndex the last committed entry
   * @param round the number of the leader's heartbeat, for reads
   * @param sentAt the leader's time, for its lease
   * @param batch the entries, at most a bounded number of bytes
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
   * The answer to {@link Append}.
   *
   * @param header the sender, the receiver and the term
   * @param accepted whether the entry before the first one sent was there
   * @param matchIndex if accepted, the last entry on the sender's disk that equals the leader's;
   *     otherwise the last entry that might
   * @param round the round of the message answered
   * @param sentAt the time of the message answered
   */
  record AppendReply(Header header, boolean accepted, long matchIndex, long round, Instant sentAt)
      implements Addressed {}

  /**
   * Asks for a vote.
   *
   * @param header the sender, the receiver and the term asked for
   * @param lastIndex the sender's last entry
   * @param lastTerm the term of that entry
   * @param preVote whether it only asks if it could win
   * @param transfer whether the leader itself asked for this election
   */
  record VoteRequest(
      Header header, long lastIndex, long lastTerm, boolean preVote, boolean transfer)
      implements Addressed {}

  /**
   * The answer to {@link VoteRequest}.
   *
   * @param header the sender, the receiver and the sender's term; for a granted pre-vote the term
   *     asked for
   * @param preVote whether the request was a pre-vote
   * @param granted whether the sender votes for the receiver
   */
  record VoteReply(Header header, boolean preVote, boolean granted) implements Addressed {}

  /**
   * A part of a snapshot, for a replica that lacks entries which the leader no longer has.
   *
   * @param header the sender, the receiver and the term
   * @param point where the snapshot stands
   * @param offset where the part begins, in bytes
   * @param totalLength the length of the snapshot in bytes
   * @param part the bytes
   * @param sentAt the leader's time, for its lease
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
   * The answer to {@link SnapshotChunk}.
   *
   * @param header the sender, the receiver and the term
   * @param index the index of the snapshot
   * @param nextOffset the first byte that the sender lacks
   * @param installed whether the whole snapshot is on the sender's disk
   * @param sentAt the time of the message answered
   */
  record SnapshotReply(
      Header header, long index, long nextOffset, boolean installed, Instant sentAt)
      implements Addressed {}

  /**
   * Asks a voter to hold an election at once, because the leader stops.
   *
   * @param header the sender, the receiver and the term
   */
  record TakeOver(Header header) implements Addressed {}

  /**
   * Says that a replica is in no cluster that it knows to be served: its folder is empty, or it
   * hears of no leader. A leader may add it; an empty replica may found a cluster with it.
   *
   * @param process the sender's process
   * @param replica the sender's identity
   * @param cluster the sender's cluster; empty if it has none
   */
  record Introduction(ProcessId process, ReplicaId replica, Optional<ClusterId> cluster)
      implements ReplicationMessage {}

  /**
   * Tells an empty replica that a new cluster was founded with it.
   *
   * @param to the identity that was made a member
   * @param founding the first entry of the log
   */
  record Founding(ReplicaId to, LogEntry founding) implements ReplicationMessage {}
}
