package org.verbenawheel.configuration;

import static com.google.common.truth.Truth.assertThat;
import static org.awaitility.Awaitility.await;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.verbenawheel.identity.ProcessId;
import org.verbenawheel.peer.PeerLinks;
import org.verbenawheel.peer.PeerMessage;
import org.verbenawheel.peer.PeerUnreachableException;
import org.verbenawheel.replication.ApplyContext;
import org.verbenawheel.request.RunVerdict;

final class ConfigurationFollowerTest {
  private static final ProcessId SILENT = new ProcessId("control-1");
  private static final ProcessId FOLLOWER = new ProcessId("control-2");
  private static final ProcessId LEADER = new ProcessId("control-3");

  private final ConfigurationState state = new ConfigurationState();
  private final FakeLinks links = new FakeLinks();
  private volatile Instant now = Instant.parse("2026-12-04T08:00:00Z");
  private final ConfigurationFollower follower =
      new ConfigurationFollower(
          ImmutableList.of(SILENT, FOLLOWER, LEADER),
          links,
          () -> now,
          Duration.ofMillis(2),
          Duration.ofSeconds(8));

  @AfterEach
  void stopFollower() {
    follower.stop(Duration.ZERO);
  }

  @Test
  void findsTheLeaderAndFollowsEachVersion() {
    acceptVersionAfter(0);
    follower.start(failure -> {});
    await().until(() -> versionInForce().equals(Optional.of(1L)));
    acceptVersionAfter(1);
    await().until(() -> versionInForce().equals(Optional.of(2L)));
    assertThat(follower.dump(now)).isEqualTo(new ConfigurationFollower.Dump(2, true, LEADER));
  }

  @Test
  void leaseExpiresWithoutAQuorumAndIsRenewedWithOne() {
    acceptVersionAfter(0);
    follower.start(failure -> {});
    await().until(() -> versionInForce().isPresent());
    links.quorum = false;
    now = now.plusSeconds(8);
    await().until(() -> versionInForce().isEmpty());
    links.quorum = true;
    await().until(() -> versionInForce().equals(Optional.of(1L)));
  }

  private Optional<Long> versionInForce() {
    return follower.inForce(now).map(VersionedConfiguration::version);
  }

  /** Applies a change to the state of the control replicas, which creates the next version. */
  private void acceptVersionAfter(int expectedVersion) {
    var unused =
        state.apply(
            new ApplyConfiguration(
                expectedVersion, SampleConfigurations.withQueueLimit(expectedVersion + 1), "ana"),
            new ApplyContext(expectedVersion + 1, now));
  }

  /** Simulates three control replicas: one that does not answer, a follower and the leader. */
  private final class FakeLinks implements PeerLinks {
    private volatile boolean quorum = true;

    @Override
    public CompletableFuture<PeerMessage> request(
        ProcessId peer, PeerMessage message, Duration timeout) {
      if (peer.equals(SILENT)) {
        return CompletableFuture.failedFuture(
            new PeerUnreachableException(peer, RunVerdict.MAY_HAVE_RUN, "timeout"));
      }
      ConfigurationService service =
          new ConfigurationService(
              new FakeAuthority(peer.equals(LEADER) && quorum), state::history);
      return service.onRequest(new ProcessId("entry-1"), message).orElseThrow();
    }

    @Override
    public void send(ProcessId peer, PeerMessage message) {}
  }

  private record FakeAuthority(boolean confirms) implements ConfigurationAuthority {
    @Override
    public CompletableFuture<Void> confirm() {
      return confirms
          ? CompletableFuture.completedFuture(null)
          : CompletableFuture.failedFuture(new IllegalStateException("no quorum"));
    }

    @Override
    public Optional<ProcessId> leader() {
      return Optional.of(LEADER);
    }
  }
}
