package org.verbenawheel.execution;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.verbenawheel.job.JobPhase;
import org.verbenawheel.job.RunEnding;
import org.verbenawheel.job.StepSpecification;

/** Tests that no task runs twice and none is lost, whatever becomes of workers and orders. */
final class FleetLeadershipTest {
  private static final Duration LEASE_OVER = Duration.ofSeconds(8);

  private final FleetTrial trial = new FleetTrial();

  @Test
  void jobRunsToItsEnd() {
    trial.report("w1");
    trial.submit("a", StepSpecification.builder().taskCount(2).uses(1_000, 10, 0).build());
    trial.advance(Duration.ofMillis(200));
    assertThat(trial.worker("w1").running()).containsExactly("a.0.0.0/1", "a.0.0.1/1");

    trial.worker("w1").endAll(RunEnding.DONE);
    trial.advance(Duration.ofSeconds(2));

    assertThat(trial.phase("a")).isEqualTo(JobPhase.COMPLETED);
    assertThat(trial.startedTwice()).isEmpty();
  }

  @Test
  void endIsForgottenByTheWorkerOnlyOnceItIsCommitted() {
    trial.report("w1");
    trial.submit("a", StepSpecification.builder().build());
    trial.advance(Duration.ofMillis(200));
    trial.holdCommits(true);

    trial.worker("w1").endAll(RunEnding.DONE);
    trial.advance(Duration.ofSeconds(1));
    assertThat(trial.worker("w1").forgottenEnds()).isEqualTo(0);

    trial.holdCommits(false);
    trial.advance(Duration.ofSeconds(2));
    assertThat(trial.phase("a")).isEqualTo(JobPhase.COMPLETED);
  }

  @Test
  void orderWithoutAnAnswerIsNotRepeatedUntilTheWorkerRefusesIt() {
    trial.report("w1");
    trial.worker("w1").loseNextStart();
    trial.submit("a", StepSpecification.builder().build());
    trial.advance(Duration.ofSeconds(3));
    assertThat(trial.worker("w1").running()).containsExactly("a.0.0.0/2");

    trial.worker("w1").deliverLostStarts();

    assertThat(trial.worker("w1").running()).containsExactly("a.0.0.0/2");
    assertThat(trial.startedTwice()).isEmpty();
  }

  @Test
  void orderThatWasCarriedOutWithoutAnAnswerIsAdopted() {
    trial.report("w1");
    trial.worker("w1").loseNextAnswer();
    trial.submit("a", StepSpecification.builder().build());
    trial.advance(Duration.ofSeconds(3));

    assertThat(trial.worker("w1").running()).containsExactly("a.0.0.0/1");
    assertThat(trial.startedTwice()).isEmpty();
  }

  @Test
  void silentWorkersTaskRunsElsewhereOnlyAfterItsLease() {
    trial.report("w1");
    trial.submit("a", StepSpecification.builder().build());
    trial.advance(Duration.ofMillis(200));
    trial.report("w2");
    trial.worker("w1").setSilent(true);

    trial.advance(Duration.ofSeconds(3));
    assertThat(trial.worker("w2").running()).isEmpty();
    trial.advance(LEASE_OVER);

    assertThat(trial.worker("w2").running()).containsExactly("a.0.0.0/2");
    assertThat(trial.startedTwice()).isEmpty();
  }

  @Test
  void unansweredLooksDoNotExtendTheLease() {
    trial.report("w1");
    trial.submit("a", StepSpecification.builder().build());
    trial.advance(Duration.ofMillis(200));
    long granted = trial.worker("w1").longestLease();
    trial.worker("w1").setSilent(true);

    trial.advance(LEASE_OVER);

    assertThat(trial.worker("w1").longestLease() - granted).isAtMost(2_500);
  }

  @Test
  void newLeaderAdoptsWhatRuns() {
    trial.report("w1");
    trial.submit("a", StepSpecification.builder().taskCount(2).build());
    trial.advance(Duration.ofMillis(200));

    trial.changeLeader();
    trial.advance(Duration.ofSeconds(2));

    assertThat(trial.worker("w1").running()).containsExactly("a.0.0.0/1", "a.0.0.1/1");
    assertThat(trial.startedTwice()).isEmpty();
  }

  @Test
  void newLeaderStartsWhatWasCommittedAndNeverSent() {
    trial.report("w1");
    trial.advance(Duration.ofMillis(200));
    trial.worker("w1").loseNextStart();
    trial.submit("a", StepSpecification.builder().build());
    trial.advance(Duration.ofMillis(20));

    trial.changeLeader();
    trial.advance(Duration.ofSeconds(2));
    trial.worker("w1").deliverLostStarts();

    assertThat(trial.worker("w1").running()).containsExactly("a.0.0.0/2");
    assertThat(trial.startedTwice()).isEmpty();
  }

  @Test
  void workerRebornUnderItsIdGetsItsTasksAnew() {
    trial.report("w1");
    trial.submit("a", StepSpecification.builder().build());
    trial.advance(Duration.ofMillis(200));

    trial.worker("w1").beBornAgain();
    trial.advance(Duration.ofSeconds(3));

    assertThat(trial.worker("w1").running()).containsExactly("a.0.0.0/2");
  }

  @Test
  void drainingWorkerGetsNoTasks() {
    trial.report("w1");
    trial.advance(Duration.ofMillis(200));
    trial.reportDraining("w1");

    trial.submit("a", StepSpecification.builder().build());
    trial.advance(Duration.ofSeconds(2));

    assertThat(trial.worker("w1").running()).isEmpty();
  }

  @Test
  void lateReportOfAnEarlierWorkerAtAnAddressNamesNoWorker() {
    trial.report("w1");
    trial.reportAtAddressOf("w1", "ghost", -5_000);

    assertThat(trial.isKnown("ghost")).isFalse();
    assertThat(trial.isKnown("w1")).isTrue();
  }

  @Test
  void leavingWorkersTasksRunElsewhereAtOnce() {
    trial.report("w1");
    trial.submit("a", StepSpecification.builder().build());
    trial.advance(Duration.ofMillis(200));
    trial.report("w2");

    trial.leave("w1");
    trial.advance(Duration.ofMillis(500));

    assertThat(trial.worker("w2").running()).containsExactly("a.0.0.0/2");
  }

  @Test
  void workerThatFailsEverybodysTasksGetsNoneForAWhile() {
    trial.report("w1");
    for (int number = 0; number < 4; number++) {
      trial.submit("a" + number, StepSpecification.builder().build());
    }
    trial.advance(Duration.ofMillis(200));
    trial.report("w2");
    trial.worker("w1").endAll(RunEnding.FAILED);
    trial.advance(Duration.ofSeconds(2));

    trial.submit("b", StepSpecification.builder().taskCount(40).build());
    trial.advance(Duration.ofMillis(500));

    assertThat(trial.worker("w1").running()).isEmpty();
    assertThat(trial.worker("w2").running()).hasSize(44);
  }

  @Test
  void taskThatStandsStillIsStartedElsewhere() {
    trial.report("w1");
    trial.submit("a", StepSpecification.builder().build());
    trial.advance(Duration.ofMillis(200));
    trial.report("w2");
    trial.worker("w1").setPercent(40);

    trial.advance(Duration.ofSeconds(6));

    assertThat(trial.worker("w2").running()).containsExactly("a.0.0.0/2");
  }

  @Test
  void fillingTaskIsSlowedBesideAServingOneThatNearsItsTarget() {
    trial.report("w1");
    trial.submit("serving", StepSpecification.builder().longRunning(true).serves("i", 50).build());
    trial.submit(
        "filling", StepSpecification.builder().longRunning(true).fillsLeftover(true).build());
    trial.advance(Duration.ofMillis(500));
    trial.worker("w1").setLoad(49);

    trial.advance(Duration.ofSeconds(4));
    assertThat(trial.worker("w1").pace("filling.0.0.0")).isEqualTo(0);
    assertThat(trial.worker("w1").pace("serving.0.0.0")).isEqualTo(100);

    trial.worker("w1").setLoad(10);
    trial.advance(Duration.ofMinutes(2));
    assertThat(trial.worker("w1").pace("filling.0.0.0")).isEqualTo(100);
  }

  @Test
  void cancelledJobsTasksAreStopped() {
    trial.report("w1");
    trial.submit("a", StepSpecification.builder().longRunning(true).build());
    trial.advance(Duration.ofMillis(200));

    trial.cancel("a");
    trial.advance(Duration.ofSeconds(2));

    assertThat(trial.worker("w1").running()).isEmpty();
    assertThat(trial.phase("a")).isEqualTo(JobPhase.CANCELLED);
  }
}
