package org.verbenawheel.pool;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.verbenawheel.pool.Fleet.definePool;
import static org.verbenawheel.pool.Fleet.host;
import static org.verbenawheel.pool.Fleet.move;
import static org.verbenawheel.pool.Fleet.pool;
import static org.verbenawheel.pool.Fleet.registerHost;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.time.Duration;
import java.time.Instant;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.verbenawheel.codec.MessageCodec;
import org.verbenawheel.configuration.Configuration;
import org.verbenawheel.configuration.PoolRole;
import org.verbenawheel.configuration.PoolSettings;
import org.verbenawheel.configuration.VersionedConfiguration;
import org.verbenawheel.platform.EffectKind;
import org.verbenawheel.platform.FakePlatform;
import org.verbenawheel.platform.HostOperation;
import org.verbenawheel.platform.HostUsage;
import org.verbenawheel.platform.OperationId;
import org.verbenawheel.platform.OperationReport;
import org.verbenawheel.platform.Platform;
import org.verbenawheel.platform.PlatformException;
import org.verbenawheel.platform.Resources;
import org.verbenawheel.platform.UsageBoard;
import org.verbenawheel.platform.UsageReport;
import org.verbenawheel.replication.CommandEnvelope;
import org.verbenawheel.replication.CommandReply;
import org.verbenawheel.replication.ControlCommand;

final class ActivityControllerTest {
  private static final MessageCodec CODEC = new MessageCodec(PoolCommands.KINDS);
  private static final Duration ROUND = Duration.ofSeconds(10);
  private static final int MAXIMUM_ROUNDS = 100;

  /** Aborts the controller between two steps, as a kill of the process would. */
  private static final class ProcessKilled extends RuntimeException {
    private static final long serialVersionUID = 1L;
  }

  private PoolState state = new PoolState();
  private FakeCommandLog log = new FakeCommandLog(CODEC, state);
  private FakePlatform fakePlatform = new FakePlatform(log);
  private Optional<Instant> leaseUntil = Optional.of(Instant.MAX);
  private final UsageBoard usage = new UsageBoard();
  private int killPointsUntilKill = Integer.MAX_VALUE;

  @BeforeEach
  void reset() {
    state = new PoolState();
    log = new FakeCommandLog(CODEC, state);
    fakePlatform = new FakePlatform(log);
    killPointsUntilKill = Integer.MAX_VALUE;
    log.commit(definePool(pool(0), 9));
    log.commit(definePool(pool(1), 9));
    log.commit(registerHost(host(0), pool(0)));
  }

  /** Marks a point, before or after a commit or a platform operation, where a kill may happen. */
  private void passKillPoint() {
    if (killPointsUntilKill-- == 0) {
      throw new ProcessKilled();
    }
  }

  private CompletableFuture<CommandReply> submit(CommandEnvelope envelope) {
    passKillPoint();
    CompletableFuture<CommandReply> reply = log.submit(envelope);
    passKillPoint();
    return reply;
  }

  private final class KillablePlatform implements Platform {
    @Override
    public OperationReport perform(HostOperation operation) throws PlatformException {
      passKillPoint();
      OperationReport report = fakePlatform.perform(operation);
      passKillPoint();
      return report;
    }

    @Override
    public UsageReport usageSince(Instant since) {
      return fakePlatform.usageSince(since);
    }
  }

  private ActivityController newLeader(FleetDecider... deciders) {
    return new ActivityController(
        state,
        ImmutableList.copyOf(deciders),
        () -> leaseUntil,
        this::submit,
        new KillablePlatform(),
        usage,
        log);
  }

  @Test
  void performsEachMoveEffectOnceAtEveryKillPoint() throws Exception {
    assertEffectsOnceAtEveryKillPoint(ActivityKind.MOVE, "DRAIN host-0", "LEASE host-0");
  }

  @Test
  void performsEachMaintenanceEffectOnceAtEveryKillPoint() throws Exception {
    assertEffectsOnceAtEveryKillPoint(ActivityKind.MAINTAIN, "DRAIN host-0", "REBOOT host-0");
  }

  @Test
  void performsEachPowerOffEffectOnceAtEveryKillPoint() throws Exception {
    assertEffectsOnceAtEveryKillPoint(ActivityKind.POWER_OFF, "DRAIN host-0", "POWER_OFF host-0");
  }

  /**
   * Repeats an activity with a kill at the first, second, third and so on kill point until a run
   * passes all of them. A leader that recovers must neither repeat nor skip a platform operation.
   */
  private void assertEffectsOnceAtEveryKillPoint(ActivityKind kind, String... effects)
      throws Exception {
    int killPoint = 0;
    boolean killed = true;
    while (killed) {
      reset();
      killPointsUntilKill = killPoint;
      killed = runWithOneKill(kind);
      assertWithMessage("effects of %s killed at point %s", kind, killPoint)
          .that(fakePlatform.effects())
          .containsExactlyElementsIn(ImmutableList.copyOf(effects))
          .inOrder();
      assertThat(record().activity()).isEmpty();
      killPoint++;
    }
    assertThat(killPoint).isGreaterThan(10);
  }

  private boolean runWithOneKill(ActivityKind kind) throws InterruptedException {
    FleetDecider decider = (view, now) -> startActivityOnce(kind);
    try {
      runUntilActivityEnds(newLeader(decider));
      return false;
    } catch (ProcessKilled killed) {
      log.crashAndRecover();
      runUntilActivityEnds(newLeader(decider));
      return true;
    }
  }

  private ImmutableList<ControlCommand> startActivityOnce(ActivityKind kind) {
    if (record().lastActivity().isPresent() || record().activity().isPresent()) {
      return ImmutableList.of();
    }
    return ImmutableList.of(
        new PoolCommand.StartActivity(
            host(0),
            new ActivityId("only"),
            kind,
            kind == ActivityKind.MOVE ? Optional.of(pool(1)) : Optional.empty(),
            record().version()));
  }

  private void runUntilActivityEnds(ActivityController controller) throws InterruptedException {
    for (int round = 0; round < MAXIMUM_ROUNDS && record().lastActivity().isEmpty(); round++) {
      controller.runRound();
      log.advance(ROUND);
    }
  }

  @Test
  void doesNothingWithoutALeaseOrShortlyBeforeItsEnd() throws Exception {
    log.commit(move(host(0), "move", pool(1), record().version()));
    leaseUntil = Optional.empty();
    newLeader().runRound();
    leaseUntil = Optional.of(log.instant().plus(ActivityController.LEASE_MARGIN));
    newLeader().runRound();
    assertThat(record().activity().orElseThrow().phase()).isEqualTo(ActivityPhase.REQUESTED);
  }

  @Test
  void resumesAfterLostPlatformAnswersAndFailedCommits() throws Exception {
    log.commit(move(host(0), "move", pool(1), record().version()));
    fakePlatform.loseAnswers(2);
    log.failSubmitsAfter(1);
    for (int round = 0; round < 5; round++) {
      newLeader().runRound();
    }
    log.failSubmitsAfter(Integer.MAX_VALUE);
    runUntilActivityEnds(newLeader());
    assertThat(record().pool()).isEqualTo(pool(1));
    assertThat(fakePlatform.effects()).containsExactly("DRAIN host-0", "LEASE host-0");
  }

  @Test
  void resumesACancelledHostAndRejectsADelayedDrain() throws Exception {
    log.commit(move(host(0), "move", pool(1), record().version()));
    newLeader().runRound();
    HostOperation delayed = ActivityEffects.operation(record()).orElseThrow();
    log.commit(new PoolCommand.CancelActivity(host(0), new ActivityId("move"), record().version()));
    runUntilActivityEnds(newLeader());
    assertThrows(PlatformException.class, () -> fakePlatform.perform(delayed));
    assertThat(delayed.kind()).isEqualTo(EffectKind.DRAIN);
    assertThat(fakePlatform.effects()).containsExactly("RESUME host-0");
    assertThat(record().takesWork()).isTrue();
  }

  @Test
  void marksAHostLostIfThePlatformCannotRebootIt() throws Exception {
    fakePlatform.breakHost(host(0));
    runWithOneKill(ActivityKind.MAINTAIN);
    assertThat(record().condition()).isEqualTo(HostCondition.LOST);
    assertThat(record().lastFailure().orElseThrow().reason()).isEqualTo("no answer from host");
  }

  @Test
  void ignoresMeasurementsFromBeforeTheHostsLastChange() throws Exception {
    fakePlatform.measure(new HostUsage(host(0), record().changedAt(), true, false, Resources.NONE));
    log.advance(FakePlatform.USAGE_LAG.plus(ROUND));
    newLeader(new ConditionDecider(usage)).runRound();
    assertThat(record().condition()).isEqualTo(HostCondition.IN_SERVICE);

    fakePlatform.measure(new HostUsage(host(0), log.instant(), true, false, Resources.NONE));
    newLeader(new ConditionDecider(usage)).runRound();
    assertThat(record().condition()).isEqualTo(HostCondition.IN_SERVICE);
    log.advance(FakePlatform.USAGE_LAG);
    newLeader(new ConditionDecider(usage)).runRound();
    assertThat(record().condition()).isEqualTo(HostCondition.LOST);
  }

  @Test
  void definesPoolsFromTheAcceptedConfiguration() throws Exception {
    PoolSettings settings = new PoolSettings(pool(7), PoolRole.SPARE, 0, 3);
    Configuration configuration =
        new Configuration("d", ImmutableMap.of(), ImmutableMap.of(pool(7), settings));
    newLeader(new PoolDefinitions(() -> new VersionedConfiguration(2, configuration))).runRound();
    assertThat(state.view().pools()).containsEntry(pool(7), settings);
  }

  @Test
  void partRunsRoundsUntilStopped() {
    log.commit(move(host(0), "move", pool(1), record().version()));
    ControllerPart part = new ControllerPart(newLeader(), Duration.ofMillis(1));
    part.start(failure -> {});
    Awaitility.await().until(() -> fakePlatform.effects().contains("DRAIN host-0"));
    part.stop(Duration.ofSeconds(5));
    assertThat(record().activity().orElseThrow().phase()).isEqualTo(ActivityPhase.DRAINING);
  }

  /**
   * Shows why the operation ID is derived from the committed phase. A leader that chooses a new ID
   * for each attempt, performs the operation and commits afterwards repeats it when killed in
   * between.
   */
  @Test
  void newOperationIdPerAttemptRepeatsTheEffect() throws Exception {
    for (int attempt = 0; attempt < 2; attempt++) {
      fakePlatform.perform(
          new HostOperation(
              new OperationId("attempt-" + attempt),
              host(0),
              EffectKind.REBOOT,
              Optional.empty(),
              attempt));
    }
    assertThat(fakePlatform.effects()).containsExactly("REBOOT host-0", "REBOOT host-0");
  }

  private HostRecord record() {
    return Objects.requireNonNull(state.view().hosts().get(host(0)));
  }
}
