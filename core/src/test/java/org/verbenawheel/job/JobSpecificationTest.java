package org.verbenawheel.job;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertTimeoutPreemptively;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.function.IntFunction;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Tests that no job a caller can submit keeps the leader from its other work. */
final class JobSpecificationTest {
  private static final Duration FAR_TOO_LONG = Duration.ofSeconds(20);
  private static final int ESTIMATE_MILLISECONDS = 10;

  // The number of paths doubles with each step.
  @Test
  void criticalPathOfStepsThatAllDependOnEachOtherIsFoundQuickly() {
    JobSpecification job =
        jobOf(
            60, step -> IntStream.range(0, step).boxed().collect(ImmutableList.toImmutableList()));

    long criticalPath = assertTimeoutPreemptively(FAR_TOO_LONG, job::criticalPathMilliseconds);

    assertThat(criticalPath).isEqualTo(60 * ESTIMATE_MILLISECONDS);
  }

  @Test
  void criticalPathOfALongChainIsFound() {
    JobSpecification job =
        jobOf(
            JobSpecification.MAXIMUM_TASKS,
            step -> step == 0 ? ImmutableList.of() : ImmutableList.of(step - 1));

    assertThat(job.criticalPathMilliseconds())
        .isEqualTo((long) JobSpecification.MAXIMUM_TASKS * ESTIMATE_MILLISECONDS);
  }

  @Test
  void criticalPathFollowsTheLongestBranch() {
    JobSpecification job =
        jobOf(4, step -> step == 3 ? ImmutableList.of(0, 2) : ImmutableList.of());

    assertThat(job.criticalPathsMilliseconds()).containsExactly(20L, 10L, 20L, 10L).inOrder();
  }

  // The start time of a late occurrence overflowed, so that it was due at once.
  @Test
  void jobWhoseLastOccurrenceIsBeyondAllClocksIsRefused() {
    JobSpecification job =
        new JobSpecification(
            "x",
            ImmutableList.of(StepSpecification.builder().build()),
            10_000,
            1_000,
            1_000_000_000_000_000L);

    assertThat(job.problems()).isNotEmpty();
  }

  @Test
  void jobWithTooManyStepsIsRefused() {
    JobSpecification job = jobOf(JobSpecification.MAXIMUM_STEPS + 1, step -> ImmutableList.of());

    assertThat(job.problems().toString()).contains("at most " + JobSpecification.MAXIMUM_STEPS);
  }

  private static JobSpecification jobOf(int steps, IntFunction<ImmutableList<Integer>> dependsOn) {
    return new JobSpecification(
        "x",
        IntStream.range(0, steps)
            .mapToObj(
                step ->
                    StepSpecification.builder()
                        .estimateMilliseconds(ESTIMATE_MILLISECONDS)
                        .dependsOn(dependsOn.apply(step))
                        .build())
            .collect(ImmutableList.toImmutableList()),
        1,
        0,
        0);
  }
}
