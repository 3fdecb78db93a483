package org.verbenawheel.membership;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.Optional;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.verbenawheel.codec.MalformedMessageException;
import org.verbenawheel.codec.MessageCodec;
import org.verbenawheel.membership.MembershipMessages.EndpointLeft;
import org.verbenawheel.membership.MembershipMessages.EntryStopping;
import org.verbenawheel.membership.MembershipMessages.Heartbeat;
import org.verbenawheel.membership.MembershipMessages.SectionAnswer;
import org.verbenawheel.membership.MembershipMessages.SectionDelta;
import org.verbenawheel.membership.MembershipMessages.SectionQuery;
import org.verbenawheel.peer.PeerMessage;

final class MembershipMessagesTest {
  private static final EndpointRecord ENDPOINT = FakeEndpoint.record(1, 7);
  private static final LeaseToken TOKEN = new LeaseToken(FakeEntries.entry(1), 5, 1200);

  private final MessageCodec codec = new MessageCodec(MembershipMessages.KINDS);

  static ImmutableList<PeerMessage> messages() {
    HeldEndpoint held = new HeldEndpoint(ENDPOINT, 3);
    return ImmutableList.of(
        new Heartbeat(1, 2, 3, 4, Long.MIN_VALUE),
        new SectionDelta(1, 2, 3, ImmutableList.of(held), ImmutableList.of(ENDPOINT.id())),
        new SectionQuery(1, 2, ImmutableList.of(3L, -4L)),
        new SectionAnswer(1, 2, 3, 4, ImmutableMap.of(5, ImmutableList.of(held))),
        new EndpointLeft(ENDPOINT.id(), 7),
        new EntryStopping(1),
        new EndpointAnnouncement(ENDPOINT, 8, 1200, Optional.of(TOKEN)),
        new EndpointAnnouncement(ENDPOINT, 8, 1200, Optional.empty()),
        new AnnounceReply(
            AnnounceStatus.GRANTED,
            FakeEntries.entry(1),
            Optional.of("10.0.0.1:8080"),
            Optional.of(TOKEN),
            1200,
            400));
  }

  @ParameterizedTest
  @MethodSource("messages")
  void roundTripsThroughTheCodec(PeerMessage message) throws MalformedMessageException {
    assertThat(codec.decode(codec.encode(message))).isEqualTo(message);
  }
}
