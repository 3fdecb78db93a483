package org.verbenawheel.membership;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import org.verbenawheel.identity.EndpointId;
import org.verbenawheel.peer.MessageKinds;
import org.verbenawheel.peer.PeerMessage;

/** The messages by which entries spread who is alive. Numbers 200 to 249. */
public final class MembershipMessages {
  /** The kinds to register with the process's connections. */
  public static final MessageKinds KINDS =
      MessageKinds.builder()
          .add(200, Heartbeat.class)
          .add(201, SectionDelta.class)
          .add(202, SectionQuery.class)
          .add(203, SectionAnswer.class)
          .add(204, EndpointLeft.class)
          .add(205, EntryStopping.class)
          .add(206, EndpointAnnouncement.class)
          .add(207, AnnounceReply.class)
          .build();

  private MembershipMessages() {}

  /** A message that entries send each other without a reply. */
  sealed interface SpreadMessage extends PeerMessage {}

  /**
   * Vouches for the sender's endpoints. Sent more often than all else, so its fields have no names
   * on the wire: new ones go to the end.
   *
   * @param incarnation the start of the sender's process
   * @param stamp to be echoed by the receiver's next heartbeat
   * @param echo the newest stamp that the sender got from the receiver; zero if none
   * @param version counts the changes of the sender's endpoints
   * @param digest of the sender's endpoints at that version
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record Heartbeat(long incarnation, long stamp, long echo, long version, long digest)
      implements SpreadMessage {}

  /**
   * Tells what changed among the sender's endpoints.
   *
   * @param incarnation the start of the sender's process
   * @param fromVersion the version that the changes build on
   * @param toVersion the version that they lead to
   * @param held endpoints that came or changed
   * @param gone endpoints that went
   */
  record SectionDelta(
      long incarnation,
      long fromVersion,
      long toVersion,
      ImmutableList<HeldEndpoint> held,
      ImmutableList<EndpointId> gone)
      implements SpreadMessage {}

  /**
   * Asks for the parts of the receiver's endpoints that the sender lacks.
   *
   * @param stamp to be echoed by the answer
   * @param incarnation the start of the receiver's process as the sender knows it; zero if it knows
   *     nothing
   * @param bucketDigests the digests of the sender's copy
   */
  record SectionQuery(long stamp, long incarnation, ImmutableList<Long> bucketDigests)
      implements SpreadMessage {}

  /**
   * Answers a {@link SectionQuery}, and vouches as a heartbeat does.
   *
   * @param incarnation the start of the sender's process
   * @param echo the stamp of the query
   * @param version the version of the sender's endpoints
   * @param digest of the sender's endpoints at that version
   * @param buckets the buckets that differ, each with all its endpoints
   */
  record SectionAnswer(
      long incarnation,
      long echo,
      long version,
      long digest,
      ImmutableMap<Integer, ImmutableList<HeldEndpoint>> buckets)
      implements SpreadMessage {}

  /**
   * Tells that an endpoint said it leaves.
   *
   * @param endpoint the endpoint
   * @param incarnation the incarnation that leaves, and all before it
   */
  record EndpointLeft(EndpointId endpoint, long incarnation) implements SpreadMessage {}

  /**
   * Tells that the sender stops in order and takes no more endpoints.
   *
   * @param incarnation the start of the sender's process
   */
  record EntryStopping(long incarnation) implements SpreadMessage {}
}
