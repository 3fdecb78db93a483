package org.verbenawheel.capacity;

import static com.google.common.truth.Truth.assertThat;
import static org.verbenawheel.pool.Fleet.pool;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.Objects;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.verbenawheel.codec.MessageCodec;
import org.verbenawheel.configuration.PoolRole;
import org.verbenawheel.configuration.PoolSettings;
import org.verbenawheel.decision.DecisionJournal;
import org.verbenawheel.identity.HostName;
import org.verbenawheel.identity.PoolName;
import org.verbenawheel.pool.ActivityKind;
import org.verbenawheel.pool.FakeCommandLog;
import org.verbenawheel.pool.Fleet;
import org.verbenawheel.pool.HostCondition;
import org.verbenawheel.pool.HostRecord;
import org.verbenawheel.pool.PoolCommand.AdvanceActivity;
import org.verbenawheel.pool.PoolCommand.DefinePool;
import org.verbenawheel.pool.PoolCommand.RegisterHost;
import org.verbenawheel.pool.PoolCommand.ReportCondition;
import org.verbenawheel.pool.PoolCommand.StartActivity;
import org.verbenawheel.pool.PoolCommands;
import org.verbenawheel.pool.PoolState;

final class CapacityPlannerTest {
  private static final PoolName SPARE = new PoolName("spare");
  private static final int HOSTS = 8;
  private static final double BUDGET = 0.001;

  private final PoolState state = new PoolState();
  private final FakeCommandLog log =
      new FakeCommandLog(new MessageCodec(PoolCommands.KINDS), state);
  private final CapacityPlanner planner = new CapacityPlanner(CapacitySettings.DEFAULT);
  private ImmutableSet<PoolName> poolsDue = ImmutableSet.of();

  @BeforeEach
  void createTwoServingPoolsAndSpares() {
    define(pool(0), PoolRole.SERVING, HOSTS, HostCondition.IN_SERVICE);
    define(pool(1), PoolRole.SERVING, HOSTS, HostCondition.IN_SERVICE);
    define(SPARE, PoolRole.SPARE, 4, HostCondition.OFF);
    log.advance(CapacitySettings.DEFAULT.holdTime());
  }

  private void define(PoolName name, PoolRole role, int hosts, HostCondition condition) {
    log.commit(new DefinePool(new PoolSettings(name, role, 0, 20), 1));
    for (int number = 0; number < hosts; number++) {
      HostName host = new HostName(name + "-host-" + number);
      int zone = number % 3;
      log.commit(new RegisterHost(host, Fleet.location(zone, zone), Fleet.RUNNER, name, condition));
    }
  }

  @Test
  void leavesSparesOffWhileThePoolsHaveWhatTheyNeed() {
    assertThat(plan(8, 8)).isEmpty();
  }

  @Test
  void lendsSurplusHostsBeforePoweringOnSpares() {
    ImmutableList<StartActivity> steps = plan(10, 5);
    assertThat(steps.stream().map(StartActivity::kind).toList())
        .containsExactly(ActivityKind.LEND, ActivityKind.LEND);
    assertThat(plan(11, 5).stream().map(StartActivity::kind).toList())
        .containsExactly(ActivityKind.LEND, ActivityKind.LEND, ActivityKind.POWER_ON);
  }

  @Test
  void powersOnEachMissingHostOnceAndLendsItWhenPowered() {
    commitAll(plan(10, 8));
    assertThat(plan(10, 8)).isEmpty();
    finishActivities();
    ImmutableList<StartActivity> loans = plan(10, 8);
    assertThat(loans.stream().map(StartActivity::kind).toList())
        .containsExactly(ActivityKind.LEND, ActivityKind.LEND);
    commitAll(loans);
    assertThat(plan(10, 8)).isEmpty();
    finishActivities();
    assertThat(state.view().hostsOf(pool(0))).hasSize(HOSTS + 2);
  }

  @Test
  void returnsAndPowersOffHostsOnlyAfterTheHoldTime() {
    for (int step = 0; step < 2; step++) {
      commitAll(plan(10, 8));
      finishActivities();
    }
    assertThat(plan(8, 8)).isEmpty();
    log.advance(CapacitySettings.DEFAULT.holdTime());
    commitAll(plan(8, 8));
    finishActivities();
    assertThat(state.view().hostsOf(SPARE)).hasSize(4);
    assertThat(plan(8, 8)).isEmpty();
    log.advance(CapacitySettings.DEFAULT.holdTime());
    commitAll(plan(8, 8));
    finishActivities();
    assertThat(
            state.view().hostsOf(SPARE).stream()
                .allMatch(host -> host.condition() == HostCondition.OFF))
        .isTrue();
  }

  @Test
  void spreadsAShortageOverThePools() {
    commitAll(plan(12, 12));
    finishActivities();
    commitAll(plan(12, 12));
    finishActivities();
    assertThat(state.view().hostsOf(pool(0))).hasSize(HOSTS + 2);
    assertThat(state.view().hostsOf(pool(1))).hasSize(HOSTS + 2);
  }

  @Test
  void powersOnASpareForABlockedWaveUnlessTheBudgetIsSpent() {
    poolsDue = ImmutableSet.of(pool(0));
    assertThat(plan(8, 8)).hasSize(1);
    assertThat(plan(8, 8, 0)).isEmpty();
  }

  @Test
  void holdsAReserveAfterALossOnlyWhileTheBudgetIsLow() {
    HostRecord lost = state.view().hostsOf(pool(0)).get(0);
    log.commit(new ReportCondition(lost.host(), HostCondition.LOST, lost.version()));
    assertThat(plan(7, 8)).isEmpty();
    assertThat(plan(7, 8, BUDGET / 1_000)).isNotEmpty();
    log.advance(CapacitySettings.DEFAULT.reserveTime());
    assertThat(plan(7, 8, BUDGET / 1_000)).isEmpty();
  }

  @Test
  void powersOnNoSpareForAPoolAtItsMaximumHosts() {
    log.commit(new DefinePool(new PoolSettings(pool(0), PoolRole.SERVING, 0, HOSTS + 1), 2));
    assertThat(plan(HOSTS + 3, 8)).hasSize(1);
    log.commit(new DefinePool(new PoolSettings(pool(0), PoolRole.SERVING, 0, HOSTS), 3));
    assertThat(plan(HOSTS + 3, 8)).isEmpty();
  }

  @Test
  void takesNoHostFromAPoolWithUnknownDemand() {
    PoolNeed need = new PoolNeed(pool(1), 10, BUDGET);
    ImmutableList<CapacityPlan.Step> steps =
        planner.plan(state.view(), ImmutableMap.of(pool(1), need), poolsDue, log.instant()).steps();
    assertThat(steps.stream().map(step -> step.command().kind()).toList())
        .containsExactly(ActivityKind.POWER_ON, ActivityKind.POWER_ON);
  }

  @Test
  void recordsInTheJournalWhyASpareIsPoweredOn() {
    DecisionJournal journal = new DecisionJournal(10);
    CapacityDecider decider =
        new CapacityDecider(planner, now -> needs(9, 8, BUDGET), view -> poolsDue, journal);
    assertThat(decider.decide(state.view(), log.instant())).hasSize(1);
    assertThat(journal.recent().get(0).outcome()).isEqualTo("POWER_ON");
    assertThat(journal.recent().get(0).reason()).contains("1 hosts are missing");
  }

  private ImmutableList<StartActivity> plan(int needOfFirst, int needOfSecond) {
    return plan(needOfFirst, needOfSecond, BUDGET);
  }

  private ImmutableList<StartActivity> plan(int needOfFirst, int needOfSecond, double budgetLeft) {
    return planner
        .plan(state.view(), needs(needOfFirst, needOfSecond, budgetLeft), poolsDue, log.instant())
        .steps()
        .stream()
        .map(CapacityPlan.Step::command)
        .collect(ImmutableList.toImmutableList());
  }

  private static ImmutableMap<PoolName, PoolNeed> needs(
      int needOfFirst, int needOfSecond, double budgetLeft) {
    return ImmutableMap.of(
        pool(0), new PoolNeed(pool(0), needOfFirst, budgetLeft),
        pool(1), new PoolNeed(pool(1), needOfSecond, budgetLeft));
  }

  private void commitAll(ImmutableList<StartActivity> steps) {
    assertThat(steps).isNotEmpty();
    steps.forEach(log::commit);
  }

  private void finishActivities() {
    log.advance(Duration.ofSeconds(1));
    for (HostName name : state.view().hosts().keySet()) {
      HostRecord host = Objects.requireNonNull(state.view().hosts().get(name));
      while (host.activity().isPresent()) {
        log.commit(
            new AdvanceActivity(
                name, host.activity().get().id(), host.activity().get().phase(), host.version()));
        host = Objects.requireNonNull(state.view().hosts().get(name));
      }
    }
  }
}
