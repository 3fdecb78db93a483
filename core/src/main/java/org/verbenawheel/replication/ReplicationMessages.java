package org.verbenawheel.replication;

import org.verbenawheel.codec.MalformedMessageException;
import org.verbenawheel.codec.MessageCodec;
import org.verbenawheel.peer.MessageKinds;
import org.verbenawheel.peer.PeerMessage;

/** The message kinds of this package, and the encoding of those stored in the log and snapshots. */
public final class ReplicationMessages {
  /** The kinds of message between replicas, and between submitting processes and replicas. */
  public static final MessageKinds KINDS =
      MessageKinds.builder()
          .add(100, ReplicationMessage.Append.class)
          .add(101, ReplicationMessage.AppendReply.class)
          .add(102, ReplicationMessage.VoteRequest.class)
          .add(103, ReplicationMessage.VoteReply.class)
          .add(104, ReplicationMessage.SnapshotChunk.class)
          .add(105, ReplicationMessage.SnapshotReply.class)
          .add(106, ReplicationMessage.TakeOver.class)
          .add(107, ReplicationMessage.Introduction.class)
          .add(108, ReplicationMessage.Founding.class)
          .add(109, ReplicationMessage.Reintroduction.class)
          .add(110, ReplicationMessage.Departure.class)
          .add(120, ClusterMembers.class)
          .add(121, SnapshotPoint.class)
          .add(150, SubmitMessage.SubmitCommand.class)
          .add(151, SubmitMessage.CommandAccepted.class)
          .add(152, SubmitMessage.CommandRefused.class)
          .add(153, CommandFaulted.class)
          .build();

  private static final MessageCodec CODEC = new MessageCodec(KINDS);

  private ReplicationMessages() {}

  /** Returns a message, such as the members, in the encoding of the log and of snapshots. */
  static Payload encode(PeerMessage message) {
    return Payload.of(CODEC.encode(message));
  }

  /**
   * Returns the members that an entry holds.
   *
   * @param entry an entry of type {@link EntryType#MEMBERS}
   */
  static ClusterMembers membersOf(LogEntry entry) {
    try {
      return (ClusterMembers) CODEC.decode(entry.payload().bytes());
    } catch (MalformedMessageException malformed) {
      throw new IllegalStateException(
          "members entry " + entry.index() + " cannot be decoded", malformed);
    }
  }

  /**
   * Decodes a snapshot point.
   *
   * @param bytes the bytes that {@link #encode} returned
   * @throws MalformedMessageException if the bytes are not an encoded snapshot point
   */
  static SnapshotPoint decodePoint(byte[] bytes) throws MalformedMessageException {
    return (SnapshotPoint) CODEC.decode(bytes);
  }
}
