package org.verbenawheel.membership;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import org.verbenawheel.identity.EndpointId;
import org.verbenawheel.peer.MessageKinds;
import org.verbenawheel.peer.PeerMessage;

/** The messages that entries exchange about live endpoints and entries. Numbers 200 to 249. */
public final class MembershipMessages {
  /** The message kinds to register with the process's peer connections. */
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

  /** A message between entries that has no correlated reply. */
  sealed interface OneWayMessage extends PeerMessage {}

  /**
   * Confirms the version and digest of the sender's endpoints. This is the most frequent message,
   * so its fields have no names on the wire: new ones go to the end.
   *
   * @param incarnation the incarnation of the sender's process
   * @param stamp to be echoed by the receiver's next heartbeat
   * @param echo the latest stamp that the sender received from the receiver; zero if none
   * @param version counts the changes of the sender's endpoints
   * @param digest of the sender's endpoints at that version
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record Heartbeat(long incarnation, long stamp, long echo, long version, long digest)
      implements OneWayMessage {}

  /**
   * Changes of the sender's endpoints.
   *
   * @param incarnation the incarnation of the sender's process
   * @param fromVersion the version that the changes apply to
   * @param toVersion the version after the changes
   * @param held endpoints that were added or changed
   * @param gone endpoints that were removed
   */
  record SectionDelta(
      long incarnation,
      long fromVersion,
      long toVersion,
      ImmutableList<HeldEndpoint> held,
      ImmutableList<EndpointId> gone)
      implements OneWayMessage {}

  /**
   * Requests the receiver's endpoints in the buckets where the sender's copy differs.
   *
   * @param stamp to be echoed by the answer
   * @param incarnation the incarnation of the receiver's process that the sender's copy is of; zero
   *     if the sender has no copy
   * @param bucketDigests the digests of the sender's copy
   */
  record SectionQuery(long stamp, long incarnation, ImmutableList<Long> bucketDigests)
      implements OneWayMessage {}

  /**
   * Answers a {@link SectionQuery}, and confirms the sender's endpoints as a heartbeat does.
   *
   * @param incarnation the incarnation of the sender's process
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
      implements OneWayMessage {}

  /**
   * Reports that an endpoint announced its departure.
   *
   * @param endpoint the endpoint
   * @param incarnation the incarnation that leaves; earlier ones leave with it
   */
  record EndpointLeft(EndpointId endpoint, long incarnation) implements OneWayMessage {}

  /**
   * Reports that the sender shuts down gracefully and grants no more leases.
   *
   * @param incarnation the incarnation of the sender's process
   */
  record EntryStopping(long incarnation) implements OneWayMessage {}
}
