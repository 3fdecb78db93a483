package org.verbenawheel.maintenance;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.verbenawheel.pool.Fleet.definePool;
import static org.verbenawheel.pool.Fleet.host;
import static org.verbenawheel.pool.Fleet.pool;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.time.Duration;
import java.time.Instant;
import java.util.Objects;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.verbenawheel.capacity.PoolNeed;
import org.verbenawheel.codec.MessageCodec;
import org.verbenawheel.decision.DecisionJournal;
import org.verbenawheel.identity.HostName;
import org.verbenawheel.identity.PoolName;
import org.verbenawheel.maintenance.MaintenanceCommand.ResumeMaintenance;
import org.verbenawheel.maintenance.MaintenanceCommand.StartMaintenance;
import org.verbenawheel.maintenance.MaintenanceCommand.StartWave;
import org.verbenawheel.maintenance.MaintenanceReply.MaintenanceRefused;
import org.verbenawheel.peer.MessageKinds;
import org.verbenawheel.platform.FakePlatform;
import org.verbenawheel.platform.UsageBoard;
import org.verbenawheel.pool.Activity;
import org.verbenawheel.pool.ActivityController;
import org.verbenawheel.pool.FakeCommandLog;
import org.verbenawheel.pool.Fleet;
import org.verbenawheel.pool.HostCondition;
import org.verbenawheel.pool.HostRecord;
import org.verbenawheel.pool.PoolCommand.AdvanceActivity;
import org.verbenawheel.pool.PoolCommand.RegisterHost;
import org.verbenawheel.pool.PoolCommand.ReportCondition;
import org.verbenawheel.pool.PoolCommands;
import org.verbenawheel.pool.PoolState;

final class WavePlannerTest {
  private static final Duration ROUND = Duration.ofSeconds(10);
  private static final int POOLS = 2;
  private static final int HOSTS_IN_POOL = 9;
  private static final int NEEDED = 6;
  private static final double BUDGET = 0.001;

  private final PoolState pools = new PoolState();
  private final MaintenanceState maintenance = new MaintenanceState();
  private final FakeCommandLog log =
      new FakeCommandLog(
          new MessageCodec(
              MessageKinds.builder()
                  .addAll(PoolCommands.KINDS)
                  .addAll(MaintenanceCommands.KINDS)
                  .build()),
          pools,
          maintenance);
  private final FakePlatform platform = new FakePlatform(log);
  private final DecisionJournal journal = new DecisionJournal(100);
  private final WavePlanner planner = new WavePlanner(MaintenanceSettings.DEFAULT);
  private double budgetLeft = BUDGET;

  @BeforeEach
  void createTwoPoolsAcrossThreeZones() {
    for (int number = 0; number < POOLS; number++) {
      log.commit(definePool(pool(number), HOSTS_IN_POOL));
    }
    for (int number = 0; number < POOLS * HOSTS_IN_POOL; number++) {
      int zone = number % 3;
      log.commit(
          new RegisterHost(
              host(number),
              Fleet.location(zone, zone),
              Fleet.RUNNER,
              pool(number / HOSTS_IN_POOL),
              HostCondition.IN_SERVICE));
    }
    log.advance(ROUND);
    log.commit(new StartMaintenance(Duration.ofDays(49), 0));
  }

  private ImmutableMap<PoolName, PoolNeed> needs(Instant now) {
    return ImmutableMap.of(
        pool(0), new PoolNeed(pool(0), NEEDED, budgetLeft),
        pool(1), new PoolNeed(pool(1), NEEDED, budgetLeft));
  }

  private ActivityController newLeader() {
    return new ActivityController(
        pools,
        ImmutableList.of(new MaintenanceDecider(planner, maintenance, this::needs, journal)),
        () -> Optional.of(Instant.MAX),
        log,
        platform,
        new UsageBoard(),
        log);
  }

  @Test
  void maintainsEveryHostOnceAndKeepsEachPoolsNeedThroughCrashes() throws Exception {
    for (int round = 0; round < 400 && !allMaintained(); round++) {
      if (round % 7 == 0) {
        log.crashAndRecover();
      }
      newLeader().runRound();
      assertEnoughHostsTakeWork(round);
      log.advance(ROUND);
    }
    assertThat(allMaintained()).isTrue();
    assertThat(platform.effects().stream().filter(effect -> effect.startsWith("REBOOT")).toList())
        .hasSize(POOLS * HOSTS_IN_POOL);
    assertThat(platform.effects().stream().distinct().toList()).isEqualTo(platform.effects());
  }

  private boolean allMaintained() {
    return pools.view().hosts().values().stream()
        .allMatch(host -> host.maintainedAt().isPresent() && host.activity().isEmpty());
  }

  private void assertEnoughHostsTakeWork(int round) {
    for (int number = 0; number < POOLS; number++) {
      long takingWork =
          pools.view().hostsOf(pool(number)).stream().filter(HostRecord::takesWork).count();
      assertWithMessage("hosts that take work in round %s", round)
          .that(takingWork)
          .isAtLeast(NEEDED);
    }
  }

  @Test
  void waveStaysInOneZoneAndIsNarrowerByHostsAlreadyLost() {
    reportLost(0);
    reportLost(1);
    StartWave first = (StartWave) nextStep().commands().get(0);
    assertThat(first.hosts()).hasSize(WavePlanner.FIRST_WAVE_HOSTS);
    StartWave wave = (StartWave) nextStep().commands().get(0);
    assertThat(
            wave.hosts().stream()
                .map(host -> record(host).location().availabilityZone())
                .distinct()
                .toList())
        .containsExactly(wave.availabilityZone());
    assertThat(wave.hosts().stream().filter(host -> record(host).pool().equals(pool(0))).toList())
        .hasSize(1);
    assertThat(wave.hosts().stream().filter(host -> record(host).pool().equals(pool(1))).toList())
        .hasSize(3);
  }

  @Test
  void startsTheNextWaveWhileOneHostStillDrains() {
    nextStep().commands().forEach(log::commit);
    ImmutableList<HostName> hosts = maintenance.status().lastWave().orElseThrow().hosts();
    nextStep().commands().forEach(log::commit);
    hosts.forEach(this::completePhase);
    ImmutableList<HostName> allButFirst = hosts.subList(1, hosts.size());
    allButFirst.forEach(this::completePhase);
    allButFirst.forEach(this::completePhase);
    assertThat(nextStep().commands()).isEmpty();
    log.advance(MaintenanceSettings.DEFAULT.settleTime());
    assertThat(nextStep().outcome()).isEqualTo("start wave");
  }

  private void completePhase(HostName host) {
    HostRecord record = record(host);
    Activity activity = record.activity().orElseThrow();
    log.commit(new AdvanceActivity(host, activity.id(), activity.phase(), record.version()));
  }

  @Test
  void takesNoHostOutOnceTheBudgetIsSpentAndReportsTheReason() {
    budgetLeft = 0;
    assertThat(nextStep().commands()).isEmpty();
    assertThat(nextStep().reason()).contains("no pool can spare one");
  }

  @Test
  void haltsOnCorrelatedFailuresAndContinuesAfterAnOperatorResumes() throws Exception {
    ActivityController leader = newLeader();
    for (int round = 0; round < 8; round++) {
      leader.runRound();
      log.advance(ROUND);
    }
    ImmutableList<HostName> hosts = maintenance.status().lastWave().orElseThrow().hosts();
    platform.breakHost(hosts.get(0));
    platform.breakHost(hosts.get(1));
    for (int round = 0; round < 30; round++) {
      leader.runRound();
      log.advance(ROUND);
    }
    MaintenanceStatus halted = maintenance.status();
    assertThat(halted.phase()).isEqualTo(MaintenancePhase.HALTED);
    assertThat(halted.haltReason().orElseThrow()).contains("find the cause, then resume");
    assertThat(journal.recent().stream().map(decision -> decision.outcome()).toList())
        .contains("halt");
    int wavesBefore = halted.wavesStarted();
    log.commit(new ResumeMaintenance(halted.version()));
    for (int round = 0; round < 30; round++) {
      leader.runRound();
      log.advance(ROUND);
    }
    assertThat(maintenance.status().phase()).isEqualTo(MaintenancePhase.RUNNING);
    assertThat(maintenance.status().wavesStarted()).isGreaterThan(wavesBefore);
  }

  @Test
  void singleFailureDoesNotHalt() throws Exception {
    nextStep().commands().forEach(log::commit);
    reportLost(number(maintenance.status().lastWave().orElseThrow().hosts().get(0)));
    assertThat(nextStep().outcome()).isNotEqualTo("halt");
  }

  @Test
  void haltReturnsDrainingHostsToService() throws Exception {
    ActivityController leader = newLeader();
    leader.runRound();
    leader.runRound();
    leader.runRound();
    log.commit(
        new MaintenanceCommand.HaltMaintenance(
            "an operator stops all reboots", maintenance.status().version()));
    for (int round = 0; round < 4; round++) {
      leader.runRound();
    }
    assertThat(pools.view().hosts().values().stream().allMatch(HostRecord::takesWork)).isTrue();
    assertThat(platform.effects().toString()).doesNotContain("REBOOT");
  }

  @Test
  void secondCommandWithTheSameExpectedVersionIsRefused() {
    long version = maintenance.status().version();
    log.commit(new MaintenanceCommand.HaltMaintenance("one", version));
    assertThat(log.commit(new MaintenanceCommand.HaltMaintenance("two", version)))
        .isInstanceOf(MaintenanceRefused.class);
    assertThat(maintenance.status().haltReason()).isEqualTo(Optional.of("one"));
  }

  private WaveStep nextStep() {
    return planner.next(maintenance.status(), pools.view(), needs(log.instant()), log.instant());
  }

  private void reportLost(int number) {
    HostRecord record = record(host(number));
    log.commit(new ReportCondition(record.host(), HostCondition.LOST, record.version()));
  }

  private static int number(HostName host) {
    return Integer.parseInt(host.value().substring("host-".length()));
  }

  private HostRecord record(HostName host) {
    return Objects.requireNonNull(pools.view().hosts().get(host));
  }
}
