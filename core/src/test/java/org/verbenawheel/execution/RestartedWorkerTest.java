package org.verbenawheel.execution;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.verbenawheel.job.RunEnding;
import org.verbenawheel.job.StepSpecification;

/**
 * Tests workers that start again under their ids while orders are under way to the earlier
 * incarnation, and are cut off soon after. The operators' runs showed TWICE.
 */
final class RestartedWorkerTest {
  private static final Duration LONGER_THAN_ANY_LEASE = Duration.ofSeconds(8);

  private final FleetHarness fleet = new FleetHarness();
  private FakeWorker worker;

  @BeforeEach
  void loseStartOrder() {
    fleet.report("w1");
    fleet.advance(LONGER_THAN_ANY_LEASE);
    fleet.report("w1");
    worker = fleet.worker("w1");
    worker.loseNextStart();
    fleet.submit("a", StepSpecification.builder().build());
  }

  // TWICE: the lease was counted by the clock of another incarnation.
  @Test
  void runOrderedBeforeAnUnknownRestartRunsElsewhereOnlyAfterTheLeases() {
    worker.restart();
    worker.deliverLostOrders();
    worker.setUnreachable(true);

    assertThatTaskRunsOnOtherWorkerAfterTheLeases();
  }

  // TWICE: after the report of the new incarnation every lease granted before counted as expired.
  @Test
  void runOrderedBeforeAReportedRestartRunsElsewhereOnlyAfterTheLeases() {
    worker.restart();
    worker.deliverLostOrders();
    fleet.report("w1");
    worker.setUnreachable(true);

    assertThatTaskRunsOnOtherWorkerAfterTheLeases();
  }

  // TWICE: an order for the earlier incarnation ran on the new one, with a lease nobody counted.
  @Test
  void orderForTheEarlierIncarnationNeverRunsOnTheNext() {
    worker.restart();
    worker.deliverLostOrders();
    fleet.report("w1");
    fleet.advance(Duration.ofMillis(100));
    assertThat(worker.running()).containsExactly("a.0.0.0/2");
    worker.setUnreachable(true);

    assertThatTaskRunsOnOtherWorkerAfterTheLeases();
  }

  // TWICE with the leader killed in between: the next one learns of the new incarnation first.
  @Test
  void runOrderedBeforeARestartThatTheNextLeaderLearnsOfRunsElsewhereOnlyAfterTheLeases() {
    worker.restart();
    fleet.changeLeader();
    fleet.advance(LONGER_THAN_ANY_LEASE);
    worker.setUnreachable(true);
    fleet.advance(Duration.ofMillis(100));
    worker.setUnreachable(false);
    fleet.submit("b", StepSpecification.builder().build());
    worker.restart();
    worker.deliverLostOrders();
    fleet.report("w1");
    worker.setUnreachable(true);

    fleet.report("w2");
    fleet.advance(LONGER_THAN_ANY_LEASE.multipliedBy(2));

    assertThat(fleet.startedTwice()).isEmpty();
  }

  // The clock of the new incarnation must not be taken from an answer of the earlier one, which
  // makes its leases seem to end seconds before they do.
  @Test
  void answerOfTheEarlierIncarnationDoesNotSetTheClockOfTheNewOne() {
    fleet.advance(Duration.ofSeconds(3));
    assertThat(worker.running()).containsExactly("a.0.0.0/2");
    worker.holdAnswers(true);
    fleet.submit("b", StepSpecification.builder().build());
    worker.restart();
    fleet.report("w1");
    fleet.advance(LONGER_THAN_ANY_LEASE);
    worker.holdAnswers(false);
    fleet.advance(Duration.ofSeconds(2));
    assertThat(worker.running()).hasSize(2);
    worker.setUnreachable(true);

    assertThatTaskRunsOnOtherWorkerAfterTheLeases();
  }

  @Test
  void runsOfTheEarlierIncarnationStartAgainAtOnceOnTheNewOne() {
    fleet.advance(Duration.ofSeconds(3));
    assertThat(worker.running()).containsExactly("a.0.0.0/2");

    worker.restart();
    fleet.report("w1");
    fleet.advance(Duration.ofMillis(500));

    assertThat(worker.running()).containsExactly("a.0.0.0/3");
    worker.endAll(RunEnding.DONE);
    fleet.advance(Duration.ofSeconds(2));
    assertThat(fleet.hasActiveJobs()).isFalse();
  }

  // A new incarnation may be of another kind, with less capacity or without a label.
  @Test
  void newIncarnationTakesTasksOnlyAfterItsReport() {
    fleet.advance(Duration.ofSeconds(3));
    worker.restart();
    fleet.advance(Duration.ofSeconds(3));
    assertThat(worker.running()).isEmpty();

    fleet.report("w1");
    fleet.advance(Duration.ofMillis(500));

    assertThat(worker.running()).containsExactly("a.0.0.0/3");
  }

  // The worker was taken for its earlier incarnation again, and its leases counted anew.
  @Test
  void lateReportOfTheEarlierIncarnationDoesNotReplaceTheOneThatACallHasMet() {
    fleet.advance(Duration.ofSeconds(3));
    fleet.reportLater(Duration.ofMillis(500), "w1");
    worker.restart();
    fleet.advance(Duration.ofMillis(450));
    fleet.submit("b", StepSpecification.builder().build());
    fleet.advance(Duration.ofMillis(200));

    fleet.report("w1");

    assertThat(fleet.otherIncarnationsMet()).isEqualTo(1);
  }

  @Test
  void newIncarnationTakesTasksOnlyOnceItConfirmedAFencingToken() {
    fleet.advance(Duration.ofSeconds(3));
    worker.restart();
    worker.setUnreachable(true);
    fleet.report("w1");
    fleet.submit("b", StepSpecification.builder().build());
    fleet.report("w2");
    fleet.advance(Duration.ofMillis(200));

    assertThat(fleet.worker("w2").isRunning("b.0.0.0")).isTrue();
  }

  private void assertThatTaskRunsOnOtherWorkerAfterTheLeases() {
    fleet.report("w2");
    fleet.advance(LONGER_THAN_ANY_LEASE);

    assertThat(fleet.startedTwice()).isEmpty();
    assertThat(fleet.worker("w2").isRunning("a.0.0.0")).isTrue();
  }
}
