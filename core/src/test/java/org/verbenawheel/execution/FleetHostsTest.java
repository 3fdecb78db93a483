package org.verbenawheel.execution;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Maps;
import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.verbenawheel.execution.HostCalls.Host;
import org.verbenawheel.execution.HostCalls.HostState;
import org.verbenawheel.job.RunEnding;
import org.verbenawheel.job.StepSpecification;
import org.verbenawheel.queue.FleetConfiguration;
import org.verbenawheel.queue.InstallConfiguration;
import org.verbenawheel.queue.WorkerPool;
import org.verbenawheel.wave.UpkeepPhase;
import org.verbenawheel.wave.WaveCommands.RecordUpkeep;
import org.verbenawheel.wave.WaveCommands.StartWave;

/** Tests maintenance waves, and moves of hosts between the standby pool and other pools. */
final class FleetHostsTest {
  private final FleetHarness harness = new FleetHarness();

  @BeforeEach
  void configure() {
    harness.apply(
        new InstallConfiguration(
            new FleetConfiguration(
                1,
                ImmutableList.of(),
                ImmutableList.of(
                    new WorkerPool("p", false, true), new WorkerPool("spares", true, true)),
                "{}")));
  }

  @Test
  void hostGoesDownOnlyOnceItsTasksHaveEnded() {
    harness.report("w1");
    addHost("w1", "p");
    harness.submit("a", StepSpecification.builder().build());
    harness.advance(Duration.ofMillis(300));

    harness.apply(new StartWave(1, ImmutableList.of("host-w1"), 60_000, 1));
    harness.advance(Duration.ofSeconds(1));
    assertThat(harness.hosts().maintained()).isEmpty();

    harness.worker("w1").endAll(RunEnding.DONE);
    harness.advance(Duration.ofSeconds(2));
    assertThat(harness.hosts().maintained()).containsExactly("host-w1");
  }

  // The platform answers a repeated order with success too, after the host's worker came back.
  @Test
  void workerThatCameBackBeforeTheOrderWasAnsweredIsUsed() {
    harness.report("w1");
    addHost("w1", "p");
    harness.apply(new StartWave(1, ImmutableList.of("host-w1"), 60_000, 1));
    harness.advance(Duration.ofSeconds(2));
    assertThat(harness.hosts().maintained()).containsExactly("host-w1");

    harness.report("w1");

    assertThat(harness.isRegistered("w1")).isTrue();
  }

  @Test
  void hostWithPendingMaintenanceOrderGetsNoTasksWhileThePlatformIsOverloaded() {
    harness.report("w1");
    addHost("w1", "p");
    harness.hosts().answerMaintenance(HostCalls.OrderOutcome.OVERLOADED);
    harness.apply(new StartWave(1, ImmutableList.of("host-w1"), 60_000, 1));
    harness.advance(Duration.ofSeconds(2));

    harness.submit("a", StepSpecification.builder().longRunning(true).build());
    harness.advance(Duration.ofSeconds(2));

    assertThat(harness.worker("w1").running()).isEmpty();
  }

  /** An earlier leader recorded the order, but a task is still bound when the new leader begins. */
  @Test
  void newLeaderEvacuatesAHostAgainBeforeItsMaintenance() {
    harness.report("w1");
    addHost("w1", "p");
    harness.submit("a", StepSpecification.builder().longRunning(true).build());
    harness.advance(Duration.ofMillis(300));
    assertThat(harness.worker("w1").running()).hasSize(1);
    harness.apply(new StartWave(1, ImmutableList.of("host-w1"), 60_000, 1));
    harness.apply(new RecordUpkeep(1, "host-w1", UpkeepPhase.ORDERED));

    harness.changeLeader();
    harness.advance(Duration.ofSeconds(3));

    assertThat(harness.hosts().maintained()).containsExactly("host-w1");
    assertThat(harness.hosts().runningAtMaintenance()).isEmpty();
  }

  /** Evacuating a host that may not be ordered down yet would only cost its tasks time. */
  @Test
  void hostIsNotEvacuatedWithinTheOrderLeaseOfAnEarlierLeader() {
    harness.report("w1");
    addHost("s1", "spares");
    harness.submit("a", StepSpecification.builder().taskCount(40).uses(1_000, 1, 0).build());
    harness.advance(Duration.ofMillis(400));
    harness.report("s1");
    harness.cancel("a");
    harness.submit("b", StepSpecification.builder().taskCount(40).uses(1_000, 1, 0).build());
    harness.advance(Duration.ofMillis(300));
    harness.changeLeader();
    harness.apply(new StartWave(1, ImmutableList.of("host-s1"), 60_000, 1));

    harness.advance(Duration.ofSeconds(2));

    assertThat(harness.worker("s1").running()).isNotEmpty();
  }

  @Test
  void noMoreHostsAreDownThanTheWaveAllows() {
    for (int number = 1; number <= 4; number++) {
      harness.report("w" + number);
      addHost("w" + number, "p");
    }
    harness.apply(
        new StartWave(1, ImmutableList.of("host-w1", "host-w2", "host-w3", "host-w4"), 1_000, 2));

    harness.advance(Duration.ofMillis(1_500));

    assertThat(harness.hosts().maintained()).hasSize(2);
  }

  @Test
  void longRunningTaskMovesToAnotherWorkerBeforeMaintenance() {
    harness.report("w1");
    addHost("w1", "p");
    harness.submit(
        "a", StepSpecification.builder().longRunning(true).maximumUnavailable(1).build());
    harness.advance(Duration.ofMillis(300));
    harness.report("w2");

    harness.apply(new StartWave(1, ImmutableList.of("host-w1"), 60_000, 1));
    harness.advance(Duration.ofSeconds(3));

    assertThat(harness.worker("w2").running()).containsExactly("a.0.0.0/2");
    assertThat(harness.hosts().maintained()).containsExactly("host-w1");
  }

  @Test
  void longRunningTaskStaysWhileAnotherOfItsStepIsUnavailable() {
    harness.report("w1");
    harness.report("w2");
    addHost("w1", "p");
    harness.submit(
        "a",
        StepSpecification.builder()
            .taskCount(3)
            .maximumPerWorker(1)
            .longRunning(true)
            .maximumUnavailable(1)
            .build());
    harness.advance(Duration.ofMillis(300));

    harness.apply(new StartWave(1, ImmutableList.of("host-w1"), 60_000, 1));
    harness.advance(Duration.ofSeconds(3));

    assertThat(harness.worker("w1").running()).hasSize(1);
    assertThat(harness.hosts().maintained()).isEmpty();
  }

  @Test
  void longRunningTaskStaysWhileAnotherOfItsStepIsOnAnUnreachableWorker() {
    harness.report("w1");
    harness.report("w2");
    addHost("w1", "p");
    harness.submit(
        "a",
        StepSpecification.builder()
            .taskCount(2)
            .maximumPerWorker(1)
            .longRunning(true)
            .maximumUnavailable(1)
            .build());
    harness.advance(Duration.ofMillis(300));
    harness.report("w3");
    harness.worker("w2").setUnreachable(true);
    harness.advance(Duration.ofMillis(200));

    harness.apply(new StartWave(1, ImmutableList.of("host-w1"), 60_000, 1));
    harness.advance(Duration.ofSeconds(2));

    assertThat(harness.worker("w1").running()).hasSize(1);
    assertThat(harness.hosts().maintained()).isEmpty();
  }

  @Test
  void standbyHostIsLentToAPoolWithWaitingTasksAndReturned() {
    harness.report("w1");
    addHost("s1", "spares");
    harness.submit("a", StepSpecification.builder().taskCount(40).uses(1_000, 1, 0).build());
    harness.advance(Duration.ofSeconds(1));
    assertThat(harness.hosts().pools()).containsEntry("host-s1", "p");

    harness.report("s1");
    harness.advance(Duration.ofMillis(500));
    assertThat(harness.worker("s1").running()).hasSize(8);
    harness.worker("w1").endAll(RunEnding.DONE);
    harness.worker("s1").endAll(RunEnding.DONE);
    harness.advance(Duration.ofSeconds(8));

    assertThat(harness.hosts().pools()).containsEntry("host-s1", "spares");
  }

  // A list requested before the move shows the host where it was.
  @Test
  void hostLentWhileAListIsUnderWayIsReturned() {
    harness.report("w1");
    addHost("s1", "spares");
    harness.advance(Duration.ofMillis(100));
    harness.hosts().holdLists(true);
    harness.advance(FleetHarness.SPARE_LIST_INTERVAL);
    harness.submit("a", StepSpecification.builder().taskCount(40).uses(1_000, 1, 0).build());
    harness.advance(Duration.ofSeconds(1));
    assertThat(harness.hosts().pools()).containsEntry("host-s1", "p");
    harness.hosts().holdLists(false);
    harness.report("s1");
    harness.advance(Duration.ofMillis(500));

    harness.worker("w1").endAll(RunEnding.DONE);
    harness.worker("s1").endAll(RunEnding.DONE);
    harness.advance(Duration.ofSeconds(4));

    assertThat(harness.hosts().pools()).containsEntry("host-s1", "spares");
  }

  // The hosts of the former standby pool run tasks; a move would end them.
  @Test
  void hostsOfAFormerStandbyPoolAreNotLent() {
    harness.report("w1");
    addHost("s1", "spares");
    harness.advance(Duration.ofMillis(100));
    harness.hosts().holdLists(true);
    harness.apply(
        new InstallConfiguration(
            new FleetConfiguration(
                2,
                ImmutableList.of(),
                ImmutableList.of(
                    new WorkerPool("p", false, true),
                    new WorkerPool("spares", false, true),
                    new WorkerPool("reserve", true, true)),
                "{}")));
    harness.submit("a", StepSpecification.builder().taskCount(40).uses(1_000, 1, 0).build());

    harness.advance(Duration.ofSeconds(2));

    assertThat(harness.hosts().moveOrders()).isEqualTo(0);
  }

  @Test
  void standbyHostStaysOffWhileNoTaskWaits() {
    harness.report("w1");
    addHost("s1", "spares");
    harness.submit("a", StepSpecification.builder().uses(1_000, 1, 0).build());

    harness.advance(Duration.ofSeconds(5));

    assertThat(harness.hosts().pools()).containsEntry("host-s1", "spares");
  }

  @Test
  void idleHostsOfAPoolAreParked() {
    addIdleHosts(8);

    harness.advance(Duration.ofSeconds(7));

    assertThat(parked()).hasSize(1);
  }

  @Test
  void hostOfAWorkerThatIsBeingBoundIsNotParked() {
    addIdleHosts(8);
    harness.advance(Duration.ofMillis(5_500));
    harness.holdCommits(true);
    harness.submit("a", StepSpecification.builder().uses(1_000, 1, 0).build());

    harness.advance(Duration.ofSeconds(4));
    harness.holdCommits(false);
    harness.advance(Duration.ofMillis(200));

    assertThat(harness.worker("w1").running()).hasSize(1);
    assertThat(parked()).isNotEmpty();
    assertThat(parked()).doesNotContain("host-w1");
  }

  @Test
  void impossibleMoveIsNotOrderedAgain() {
    harness.report("w1");
    addHost("s1", "spares");
    harness.hosts().refuseMoves(HostCalls.OrderOutcome.IMPOSSIBLE);
    harness.submit("a", StepSpecification.builder().taskCount(40).uses(1_000, 1, 0).build());

    harness.advance(Duration.ofSeconds(12));

    assertThat(harness.hosts().moveOrders()).isEqualTo(1);
  }

  @Test
  void newLeaderLendsAtOnceAHostThatItsPredecessorDidNotOrder() {
    harness.report("w1");
    addHost("s1", "spares");
    harness.advance(Duration.ofSeconds(5));
    harness.changeLeader();
    harness.submit("a", StepSpecification.builder().taskCount(40).uses(1_000, 1, 0).build());

    harness.advance(Duration.ofSeconds(1));

    assertThat(harness.hosts().pools()).containsEntry("host-s1", "p");
  }

  @Test
  void newLeaderOrdersNoHostThatItsPredecessorOrderedWithinTheOrderLease() {
    addIdleHosts(8);
    harness.advance(Duration.ofMillis(6_300));
    ImmutableSet<String> parkedBefore = parked();
    assertThat(parkedBefore).hasSize(1);

    harness.changeLeader();
    harness.submit("a", StepSpecification.builder().taskCount(400).uses(1_000, 1, 0).build());
    harness.advance(FleetHarness.ORDER_LEASE.minusMillis(100));
    ImmutableSet<String> parkedWithinTheLease = parked();
    harness.advance(Duration.ofSeconds(1));

    assertThat(parkedWithinTheLease).isEqualTo(parkedBefore);
    assertThat(parked()).isEmpty();
  }

  @Test
  void newLeaderOrdersAtOnceAHostThatItsPredecessorOrderedLongAgo() {
    addIdleHosts(8);
    harness.advance(Duration.ofMillis(6_300));
    assertThat(parked()).hasSize(1);
    harness.advance(Duration.ofSeconds(8));

    harness.changeLeader();
    harness.submit("a", StepSpecification.builder().taskCount(400).uses(1_000, 1, 0).build());
    harness.advance(Duration.ofSeconds(1));

    assertThat(parked()).isEmpty();
  }

  @Test
  void moveIsOrderedOnlyOnceItIsRecorded() {
    harness.report("w1");
    addHost("s1", "spares");
    harness.submit("a", StepSpecification.builder().taskCount(40).uses(1_000, 1, 0).build());
    harness.holdCommits(true);
    harness.advance(Duration.ofSeconds(1));
    int ordersBeforeTheRecord = harness.hosts().moveOrders();
    harness.holdCommits(false);
    harness.advance(Duration.ofMillis(200));

    assertThat(ordersBeforeTheRecord).isEqualTo(0);
    assertThat(harness.hosts().moveOrders()).isEqualTo(1);
  }

  @Test
  void newLeaderOrdersMaintenanceAtOnceOfAHostThatItsPredecessorDidNotOrder() {
    harness.report("w1");
    addHost("w1", "p");
    harness.advance(Duration.ofSeconds(1));
    harness.changeLeader();
    harness.apply(new StartWave(1, ImmutableList.of("host-w1"), 60_000, 1));

    harness.advance(Duration.ofSeconds(1));

    assertThat(harness.hosts().maintained()).containsExactly("host-w1");
  }

  @Test
  void standbyHostIsLentForATaskThatNeedsItsOwnWorkerEvenIfOthersHaveRoom() {
    addIdleHosts(2);
    addHost("s1", "spares");
    harness.submit(
        "a",
        StepSpecification.builder()
            .taskCount(3)
            .uses(1_000, 1, 0)
            .maximumPerWorker(1)
            .longRunning(true)
            .build());

    harness.advance(Duration.ofSeconds(1));

    assertThat(harness.hosts().pools()).containsEntry("host-s1", "p");
  }

  private void addIdleHosts(int hosts) {
    for (int number = 1; number <= hosts; number++) {
      harness.report("w" + number);
      addHost("w" + number, "p");
    }
  }

  private ImmutableSet<String> parked() {
    return ImmutableMap.copyOf(Maps.filterValues(harness.hosts().pools(), "spares"::equals))
        .keySet();
  }

  private void addHost(String worker, String pool) {
    harness.hosts().add(new Host("host-" + worker, pool, HostState.UP, Optional.of(worker)));
  }
}
