package org.verbenawheel.membership;

import static com.google.common.truth.Truth.assertThat;
import static org.awaitility.Awaitility.await;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.verbenawheel.identity.ProcessId;

final class MembershipNodeTest {
  private static final ProcessId ENTRY_1 = FakeEntries.entry(1);
  private static final ProcessId ENTRY_2 = FakeEntries.entry(2);
  private static final ImmutableSet<ProcessId> ENTRIES =
      ImmutableSet.of(ENTRY_1, ENTRY_2, FakeEntries.entry(3));

  private final FakeLinks links = new FakeLinks();
  private final Map<ProcessId, MembershipNode> nodes = new TreeMap<>();
  private final EndpointRecord endpoint = FakeEndpoint.record(1, 1);

  @BeforeEach
  void startNodes() {
    ENTRIES.forEach(this::start);
    await().until(() -> node(ENTRY_1).view().liveEntries().equals(ENTRIES));
  }

  @AfterEach
  void stopNodes() {
    nodes.values().forEach(node -> node.stop(Duration.ZERO));
    links.close();
  }

  @Test
  void endpointJoinsAndLeavesEverywhere() {
    AnnounceReply granted = join(ENTRY_1);
    assertThat(granted.status()).isEqualTo(AnnounceStatus.GRANTED);
    assertThat(granted.homeAddress()).hasValue("10.0.0.1:8080");
    await().until(() -> node(ENTRY_2).view().endpoints().containsKey(endpoint.id()));
    node(ENTRY_2).leave(endpoint.id(), endpoint.incarnation());
    await().until(() -> node(ENTRY_1).view().endpoints().isEmpty());
  }

  @Test
  void renewalAtAnotherEntryIsForwardedToTheHomeEntry() {
    AnnounceReply granted = join(ENTRY_1);
    AnnounceReply renewed = node(ENTRY_2).announce(announcement(3, granted.token()));
    assertThat(renewed.status()).isEqualTo(AnnounceStatus.GRANTED);
    assertThat(renewed.home()).isEqualTo(ENTRY_1);
  }

  @Test
  void renewalMovesTheLeaseIfTheHomeEntryIsUnreachable() {
    AnnounceReply granted = join(ENTRY_1);
    links.disconnect(ENTRY_1);
    AnnounceReply moved = node(ENTRY_2).announce(announcement(3, granted.token()));
    assertThat(moved.status()).isEqualTo(AnnounceStatus.ANNOUNCE_AGAIN);
    assertThat(moved.home()).isEqualTo(ENTRY_2);
    AnnounceReply renewed = node(ENTRY_2).announce(announcement(4, moved.token()));
    assertThat(renewed.status()).isEqualTo(AnnounceStatus.GRANTED);
  }

  @Test
  void drainingEntryRedirectsItsEndpoints() {
    AnnounceReply granted = join(ENTRY_1);
    node(ENTRY_1).beginDrain();
    AnnounceReply moved = node(ENTRY_1).announce(announcement(3, granted.token()));
    assertThat(moved.status()).isEqualTo(AnnounceStatus.ANNOUNCE_AGAIN);
    assertThat(moved.home()).isNotEqualTo(ENTRY_1);
    await().until(() -> !node(ENTRY_2).view().liveEntries().contains(ENTRY_1));
    assertThat(node(ENTRY_1).view().endpoints()).containsKey(endpoint.id());
  }

  @Test
  void listenersReceiveLaterViewsInOrder() {
    List<Long> versions = new CopyOnWriteArrayList<>();
    node(ENTRY_2).addListener(view -> versions.add(view.version()));
    AnnounceReply granted = join(ENTRY_1);
    assertThat(granted.status()).isEqualTo(AnnounceStatus.GRANTED);
    await().until(() -> !versions.isEmpty());
    assertThat(versions).isInStrictOrder();
  }

  @Test
  void dumpShowsTheCopiesOfOtherEntries() {
    join(ENTRY_1);
    await().until(() -> node(ENTRY_2).dump().endpoints() == 1);
    assertThat(node(ENTRY_2).dump().ownEndpoints()).isEqualTo(0);
    assertThat(node(ENTRY_1).dump().ownEndpoints()).isEqualTo(1);
    assertThat(node(ENTRY_1).dump().sections()).hasSize(2);
  }

  private AnnounceReply join(ProcessId entry) {
    AnnounceReply again = node(entry).announce(announcement(1, Optional.empty()));
    assertThat(again.status()).isEqualTo(AnnounceStatus.ANNOUNCE_AGAIN);
    return node(entry).announce(announcement(2, again.token()));
  }

  private EndpointAnnouncement announcement(long sequence, Optional<LeaseToken> token) {
    return new EndpointAnnouncement(endpoint, sequence, Long.MAX_VALUE, token);
  }

  private MembershipNode node(ProcessId entry) {
    return Optional.ofNullable(nodes.get(entry)).orElseThrow();
  }

  private void start(ProcessId entry) {
    MembershipNode node =
        MembershipNode.builder()
            .self(entry)
            .entries(ENTRIES)
            .announceAddresses(ImmutableMap.of(ENTRY_1, "10.0.0.1:8080"))
            .links(links.of(entry))
            .build();
    nodes.put(entry, node);
    links.connect(entry, node);
    node.start(failure -> {});
  }
}
