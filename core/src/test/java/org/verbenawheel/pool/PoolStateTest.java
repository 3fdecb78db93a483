package org.verbenawheel.pool;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.verbenawheel.pool.Fleet.definePool;
import static org.verbenawheel.pool.Fleet.host;
import static org.verbenawheel.pool.Fleet.move;
import static org.verbenawheel.pool.Fleet.pool;
import static org.verbenawheel.pool.Fleet.registerHost;

import com.google.common.collect.ImmutableMap;
import java.util.Objects;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.verbenawheel.codec.MessageCodec;
import org.verbenawheel.configuration.Configuration;
import org.verbenawheel.configuration.PoolRole;
import org.verbenawheel.configuration.PoolSettings;
import org.verbenawheel.identity.HostName;
import org.verbenawheel.identity.PoolName;
import org.verbenawheel.pool.PoolCommand.AdvanceActivity;
import org.verbenawheel.pool.PoolCommand.CancelActivity;
import org.verbenawheel.pool.PoolCommand.FailActivity;
import org.verbenawheel.pool.PoolCommand.RetireHost;
import org.verbenawheel.pool.PoolCommand.StartActivity;
import org.verbenawheel.pool.PoolReply.HostChanged;
import org.verbenawheel.pool.PoolReply.Refused;
import org.verbenawheel.replication.CommandReply;
import org.verbenawheel.replication.DamagedSnapshotException;

final class PoolStateTest {
  private static final ActivityId MOVE = new ActivityId("move-1");

  private final PoolState state = new PoolState();
  private final FakeCommandLog log =
      new FakeCommandLog(new MessageCodec(PoolCommands.KINDS), state);

  @BeforeEach
  void createPools() {
    log.commit(definePool(pool(0), 4));
    log.commit(definePool(pool(1), 1));
    log.commit(registerHost(host(0), pool(0)));
    log.commit(registerHost(host(1), pool(0)));
  }

  @Test
  void movesAHostAcrossACrashInEachPhase() {
    log.commit(move(host(0), "move-1", pool(1), version(host(0))));
    for (ActivityPhase phase : ActivityKind.MOVE.phases()) {
      assertThat(record(host(0)).pool()).isEqualTo(pool(0));
      assertThat(record(host(0)).activity().orElseThrow().phase()).isEqualTo(phase);
      log.crashAndRecover();
      AdvanceActivity advance = advance(phase);
      assertThat(log.commit(advance)).isInstanceOf(HostChanged.class);
      long version = version(host(0));
      assertThat(log.commit(advance)).isInstanceOf(HostChanged.class);
      assertThat(version(host(0))).isEqualTo(version);
    }
    assertThat(record(host(0)).pool()).isEqualTo(pool(1));
    assertThat(record(host(0)).activity()).isEmpty();
  }

  @Test
  void registersHostsInAnAcceptedPoolBeforeTheLeaderDefinesIt() {
    PoolSettings settings = new PoolSettings(pool(5), PoolRole.SERVING, 0, 1);
    PoolState configuredState =
        new PoolState(
            () -> new Configuration("", ImmutableMap.of(), ImmutableMap.of(pool(5), settings)));
    FakeCommandLog commands =
        new FakeCommandLog(new MessageCodec(PoolCommands.KINDS), configuredState);

    assertThat(commands.commit(registerHost(host(0), pool(5)))).isInstanceOf(HostChanged.class);
    assertThat(refused(commands.commit(registerHost(host(1), pool(5)))).reason())
        .isEqualTo(PoolRefusalReason.POOL_FULL);
    assertThat(refused(commands.commit(registerHost(host(1), pool(6)))).reason())
        .isEqualTo(PoolRefusalReason.UNKNOWN_POOL);
  }

  @Test
  void refusesTheSecondOfTwoMovesReadAtTheSameVersion() {
    long version = version(host(0));
    assertThat(log.commit(move(host(0), "move-1", pool(1), version)))
        .isInstanceOf(HostChanged.class);
    Refused refused = refused(log.commit(move(host(0), "move-2", pool(1), version)));
    assertThat(refused.reason()).isEqualTo(PoolRefusalReason.VERSION_CONFLICT);
    assertThat(refused.currentVersion()).isEqualTo(Optional.of(version(host(0))));
    assertThat(refused.message()).contains("read it again");
  }

  @Test
  void refusesInvalidMovesWithTheReason() {
    assertRefused(PoolRefusalReason.UNKNOWN_HOST, move(host(9), "a", pool(1), 1));
    assertRefused(PoolRefusalReason.UNKNOWN_POOL, moveNow(host(0), pool(9)));
    assertRefused(PoolRefusalReason.ALREADY_IN_POOL, moveNow(host(0), pool(0)));
    log.commit(moveNow(host(0), pool(1)));
    assertRefused(PoolRefusalReason.POOL_FULL, moveNow(host(1), pool(1)));
    assertRefused(PoolRefusalReason.HOST_BUSY, moveNow(host(0), pool(1)));
  }

  @Test
  void cancelsOnlyBeforeTheHostIsReleased() {
    log.commit(move(host(0), "move-1", pool(1), version(host(0))));
    log.commit(advance(ActivityPhase.REQUESTED));
    log.commit(new CancelActivity(host(0), MOVE, version(host(0))));
    assertThat(record(host(0)).activity().orElseThrow().phase()).isEqualTo(ActivityPhase.RESUMING);
    log.commit(advance(ActivityPhase.RESUMING));
    assertThat(record(host(0)).takesWork()).isTrue();

    log.commit(move(host(1), "move-2", pool(1), version(host(1))));
    for (ActivityPhase phase :
        new ActivityPhase[] {ActivityPhase.REQUESTED, ActivityPhase.DRAINING}) {
      log.commit(new AdvanceActivity(host(1), new ActivityId("move-2"), phase, version(host(1))));
    }
    Refused refused =
        refused(
            log.commit(new CancelActivity(host(1), new ActivityId("move-2"), version(host(1)))));
    assertThat(refused.reason()).isEqualTo(PoolRefusalReason.NOT_CANCELLABLE);
  }

  @Test
  void failedMoveLeavesTheHostLostInItsOldPool() {
    log.commit(move(host(0), "move-1", pool(1), version(host(0))));
    log.commit(new FailActivity(host(0), MOVE, "the platform lost the host", version(host(0))));
    assertThat(record(host(0)).condition()).isEqualTo(HostCondition.LOST);
    assertThat(record(host(0)).pool()).isEqualTo(pool(0));
    log.commit(new RetireHost(host(0), version(host(0))));
    assertThat(state.view().hosts()).doesNotContainKey(host(0));
  }

  @Test
  void refusesADamagedSnapshotAndKeepsItsState() {
    assertThrows(DamagedSnapshotException.class, () -> state.restore(new byte[] {1, 2, 3}));
    assertThat(state.view().hosts()).hasSize(2);
  }

  private void assertRefused(PoolRefusalReason reason, StartActivity command) {
    assertThat(refused(log.commit(command)).reason()).isEqualTo(reason);
  }

  private StartActivity moveNow(HostName host, PoolName target) {
    return move(host, "now-" + version(host), target, version(host));
  }

  private AdvanceActivity advance(ActivityPhase phase) {
    return new AdvanceActivity(host(0), MOVE, phase, version(host(0)));
  }

  private HostRecord record(HostName host) {
    return Objects.requireNonNull(state.view().hosts().get(host));
  }

  private long version(HostName host) {
    return record(host).version();
  }

  private static Refused refused(CommandReply reply) {
    assertThat(reply).isInstanceOf(Refused.class);
    return (Refused) reply;
  }
}
