package org.verbenawheel.membership;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.verbenawheel.identity.ProcessId;

final class EndpointMembershipTest {
  private static final ProcessId ENTRY_1 = FakeEntries.entry(1);
  private static final ProcessId ENTRY_2 = FakeEntries.entry(2);

  private final FakeEntries entries = new FakeEntries(7, 1);
  private final List<FakeEndpoint> endpoints = new ArrayList<>();

  @BeforeEach
  void joinEndpoints() {
    for (int number = 0; number < 12; number++) {
      endpoints.add(new FakeEndpoint(entries, number, 1));
    }
    run(Duration.ofSeconds(2));
  }

  @Test
  void everyEntrySeesEveryEndpointAndEntry() {
    for (ProcessId entry : entries.names()) {
      assertThat(entries.view(entry).endpoints()).hasSize(12);
      assertThat(entries.view(entry).liveEntries()).isEqualTo(entries.names());
    }
  }

  @Test
  void viewStaysTheSameWhileNothingChanges() {
    long version = entries.view(ENTRY_1).version();
    run(Duration.ofSeconds(10));
    assertThat(entries.view(ENTRY_1).version()).isEqualTo(version);
  }

  @Test
  void leavingEndpointIsRemovedEverywhereAtOnce() {
    FakeEndpoint leaving = endpoints.get(3);
    leaving.stopAnnouncing();
    entries.leave(ENTRY_1, leaving.endpoint());
    run(Duration.ofMillis(20));
    for (ProcessId entry : entries.names()) {
      assertThat(entries.view(entry).endpoints()).doesNotContainKey(leaving.id());
    }
  }

  @Test
  void silentEndpointExpires() {
    FakeEndpoint silent = endpoints.get(3);
    silent.stopAnnouncing();
    run(
        entries
            .timings
            .lease()
            .plus(entries.timings.tickInterval())
            .plus(FakeEntries.STEP.multipliedBy(2)));
    for (ProcessId entry : entries.names()) {
      assertThat(entries.view(entry).endpoints()).doesNotContainKey(silent.id());
    }
  }

  @Test
  void lateAnnouncementOfADepartedIncarnationIsRefused() {
    FakeEndpoint leaving = endpoints.get(3);
    EndpointAnnouncement late = leaving.nextAnnouncement();
    leaving.stopAnnouncing();
    entries.leave(ENTRY_1, leaving.endpoint());
    run(Duration.ofMillis(20));
    AnnounceReply reply = entries.announce(ENTRY_2, late).orElseThrow();
    assertThat(reply.status()).isEqualTo(AnnounceStatus.LEFT);
    run(Duration.ofMillis(20));
    assertThat(entries.view(ENTRY_2).endpoints()).doesNotContainKey(leaving.id());
  }

  @Test
  void nextIncarnationJoinsAfterThePreviousLeft() {
    FakeEndpoint leaving = endpoints.get(3);
    entries.leave(ENTRY_1, leaving.endpoint());
    leaving.restart();
    run(Duration.ofMillis(500));
    for (ProcessId entry : entries.names()) {
      assertThat(entries.view(entry).endpoints()).containsEntry(leaving.id(), leaving.endpoint());
    }
  }

  @Test
  void earlierIncarnationIsRefused() {
    FakeEndpoint restarting = endpoints.get(3);
    EndpointAnnouncement late = restarting.nextAnnouncement();
    restarting.restart();
    run(Duration.ofMillis(500));
    AnnounceReply reply = entries.announce(ENTRY_2, late).orElseThrow();
    assertThat(reply.status()).isEqualTo(AnnounceStatus.SUPERSEDED);
    assertThat(entries.view(ENTRY_2).endpoints())
        .containsEntry(restarting.id(), restarting.endpoint());
  }

  @Test
  void delayedRenewalDoesNotExtendAnExpiredLease() {
    FakeEndpoint silent = endpoints.get(3);
    EndpointAnnouncement delayed = silent.nextAnnouncement();
    ProcessId home = silent.home().orElseThrow();
    silent.stopAnnouncing();
    run(Duration.ofSeconds(2));
    AnnounceReply reply = entries.announce(home, delayed).orElseThrow();
    assertThat(reply.status()).isEqualTo(AnnounceStatus.ANNOUNCE_AGAIN);
    assertThat(entries.view(home).endpoints()).doesNotContainKey(silent.id());
  }

  @Test
  void extremeNumbersInAnAnnouncementAreHarmless() {
    LeaseToken token = new LeaseToken(ENTRY_1, Long.MIN_VALUE, Long.MAX_VALUE);
    EndpointAnnouncement extreme =
        new EndpointAnnouncement(
            FakeEndpoint.record(99, Long.MAX_VALUE), Long.MAX_VALUE, -1, Optional.of(token));
    AnnounceReply reply = entries.announce(ENTRY_1, extreme).orElseThrow();
    assertThat(reply.status()).isEqualTo(AnnounceStatus.ANNOUNCE_AGAIN);
    LeaseToken futureToken =
        new LeaseToken(ENTRY_1, reply.token().orElseThrow().homeIncarnation(), Long.MAX_VALUE);
    AnnounceReply granted =
        entries
            .announce(
                ENTRY_1,
                new EndpointAnnouncement(
                    FakeEndpoint.record(99, 1), 1, Long.MAX_VALUE, Optional.of(futureToken)))
            .orElseThrow();
    assertThat(granted.status()).isEqualTo(AnnounceStatus.GRANTED);
    assertThat(granted.leaseMilliseconds()).isEqualTo(entries.timings.lease().toMillis());
  }

  private void run(Duration duration) {
    Instant end = entries.now().plus(duration);
    while (entries.now().isBefore(end)) {
      entries.step();
      endpoints.forEach(FakeEndpoint::step);
    }
  }
}
