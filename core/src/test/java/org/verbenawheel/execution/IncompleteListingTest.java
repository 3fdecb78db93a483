package org.verbenawheel.execution;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.verbenawheel.job.JobPhase;
import org.verbenawheel.job.RunEnding;
import org.verbenawheel.job.StepSpecification;

/** Tests a worker with more ends than one listing names. */
final class IncompleteListingTest {
  private static final int TASKS = 1_300;

  private final FleetHarness fleet = new FleetHarness();
  private FakeWorker worker;

  @BeforeEach
  void startWideJob() {
    fleet.report("w1");
    worker = fleet.worker("w1");
    fleet.submit("wide", StepSpecification.builder().taskCount(TASKS).uses(1, 1, 0).build());
    fleet.advance(Duration.ofSeconds(3));
    assertThat(worker.running()).hasSize(TASKS);
  }

  // TWICE, review/7: a new leader took runs whose ends the first listing had no room for as runs
  // that had never started, and started them again.
  @Test
  void newLeaderStartsNoRunAgainWhoseEndIsListedLater() {
    fleet.changeLeader();
    worker.endAll(RunEnding.DONE);

    fleet.advance(Duration.ofSeconds(5));

    assertThat(fleet.startedRepeatedly()).isEmpty();
    assertThat(fleet.phase("wide")).isEqualTo(JobPhase.COMPLETED);
  }

  // TWICE, review/7: the same happened to the leader that had sent the start orders.
  @Test
  void leaderThatStartedTheRunsStartsNoneAgain() {
    worker.endAll(RunEnding.DONE);

    fleet.advance(Duration.ofSeconds(5));

    assertThat(fleet.startedRepeatedly()).isEmpty();
    assertThat(fleet.phase("wide")).isEqualTo(JobPhase.COMPLETED);
  }

  @Test
  void runThatNeverStartedIsReleasedByTheFirstCompleteListing() {
    worker.loseNextStart();
    fleet.submit("late", StepSpecification.builder().uses(1, 1, 0).build());
    worker.endAll(RunEnding.DONE);

    fleet.advance(Duration.ofSeconds(5));

    assertThat(worker.running()).containsExactly("late.0.0.0/2");
    assertThat(fleet.phase("wide")).isEqualTo(JobPhase.COMPLETED);
  }
}
