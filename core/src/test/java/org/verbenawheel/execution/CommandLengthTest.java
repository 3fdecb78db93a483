package org.verbenawheel.execution;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.verbenawheel.job.JobPhase;
import org.verbenawheel.job.JobSpecification;
import org.verbenawheel.job.RunEnding;
import org.verbenawheel.job.StepSpecification;

/** Tests that no command of the leader grows beyond what the log accepts. */
final class CommandLengthTest {
  private static final int MAXIMUM_COMMAND_BYTES = 1024 * 1024;
  private static final int SMALL_JOBS = 200;
  private static final StepSpecification SMALL_STEP =
      StepSpecification.builder().taskCount(100).uses(1, 1, 0).build();

  private final FleetHarness fleet = new FleetHarness();

  @BeforeEach
  void reportWorker() {
    report("i-7f3a91c2");
  }

  private void report(String worker) {
    fleet.report(worker);
    fleet.advance(Duration.ofMillis(500));
  }

  // A round whose starts exceed one command is refused and decided again: nothing ever starts, of
  // any job.
  @Test
  void jobWithAsManyTasksAsAllowedStartsAndSoDoesASmallJobBesideIt() {
    fleet.submit(
        "00000000000000b1",
        StepSpecification.builder()
            .taskCount(JobSpecification.MAXIMUM_TASKS)
            .uses(1, 1, 0)
            .build());
    fleet.submit(
        "00000000000000b2", StepSpecification.builder().taskCount(2).uses(1_000, 1, 0).build());

    fleet.advance(Duration.ofSeconds(1));
    assertThat(fleet.phase("00000000000000b2")).isEqualTo(JobPhase.RUNNING);
    completeEverything();

    assertThat(fleet.phase("00000000000000b1")).isEqualTo(JobPhase.COMPLETED);
    assertThat(fleet.phase("00000000000000b2")).isEqualTo(JobPhase.COMPLETED);
    assertThat(fleet.startedTwice()).isEmpty();
    assertThat(fleet.longestCommandBytes()).isAtMost(MAXIMUM_COMMAND_BYTES);
  }

  // Many small jobs reach the length of a command together as one wide job does alone.
  @Test
  void manySmallJobsThatAreAcceptedTogetherStart() {
    fleet.submitTogether(SMALL_JOBS, SMALL_STEP);

    completeEverything();

    for (int job = 0; job < SMALL_JOBS; job++) {
      assertThat(fleet.phase("together-" + job)).isEqualTo(JobPhase.COMPLETED);
    }
    assertThat(fleet.longestCommandBytes()).isAtMost(MAXIMUM_COMMAND_BYTES);
  }

  // The runs of a lost worker end together; a refused command would leave them bound to it forever.
  @Test
  void runsOfALostWorkerEndTogetherAndRunElsewhere() {
    fleet.submitTogether(SMALL_JOBS, SMALL_STEP);
    fleet.advance(Duration.ofSeconds(5));
    assertThat(fleet.worker("i-7f3a91c2").running()).hasSize(JobSpecification.MAXIMUM_TASKS);
    report("i-0b8d44e7");
    fleet.worker("i-7f3a91c2").setUnreachable(true);

    fleet.advance(Duration.ofSeconds(15));

    assertThat(fleet.worker("i-0b8d44e7").running()).hasSize(JobSpecification.MAXIMUM_TASKS);
    assertThat(fleet.startedTwice()).isEmpty();
    assertThat(fleet.longestCommandBytes()).isAtMost(MAXIMUM_COMMAND_BYTES);
  }

  private void completeEverything() {
    for (int second = 0; second < 60 && fleet.hasActiveJobs(); second++) {
      fleet.advance(Duration.ofSeconds(1));
      fleet.worker("i-7f3a91c2").endAll(RunEnding.DONE);
    }
  }
}
