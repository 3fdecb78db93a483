package org.verbenawheel.execution;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.Test;
import org.verbenawheel.job.JobCommands.AcceptJob;
import org.verbenawheel.job.JobCommands.CancelJob;
import org.verbenawheel.job.JobCommands.Limits;
import org.verbenawheel.job.JobRegistry;
import org.verbenawheel.job.JobSpecification;
import org.verbenawheel.job.StepSpecification;
import org.verbenawheel.replication.ApplyContext;

/** Tests {@link PoolDemand}. */
final class PoolDemandTest {
  private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");

  private final JobRegistry jobRegistry = new JobRegistry(Duration.ofMinutes(2));
  private final PoolDemand demand =
      new PoolDemand(job -> job.limits().pool(), Duration.ofMillis(1_800));
  private long index;

  @Test
  void demandIsAtLeastBoundPlusWaitingWork() {
    assertThat(
            demand.estimate(
                jobRegistry.active(),
                ImmutableMap.of("p", 5_000L),
                ImmutableMap.of("p", 2_000L, "q", 1_000L),
                START))
        .containsExactly("p", 7_000L, "q", 1_000L);
  }

  @Test
  void demandFollowsTheArrivalRate() {
    // A job each 100 ms, each of 6 tasks of 500 ms on 2 cores.
    for (int number = 0; number < 20; number++) {
      submit("job-" + number, START.plusMillis(100L * number), 60_000);
    }

    assertThat(estimate(START.plusMillis(1_950))).isEqualTo(60_000);
    assertThat(estimate(START.plusMillis(4_000))).isEqualTo(0);
  }

  @Test
  void growthIsExtrapolatedIfJobsCannotWaitForAHost() {
    // Two jobs in half a second, then five.
    for (int number = 0; number < 2; number++) {
      submit("early-" + number, START.plusMillis(100L * number), 600);
    }
    for (int number = 0; number < 5; number++) {
      submit("late-" + number, START.plusMillis(600 + 50L * number), 600);
    }

    assertThat(estimate(START.plusMillis(1_000))).isEqualTo(2 * 60_000 - 24_000);
  }

  @Test
  void growthIsNotExtrapolatedIfJobsCanWaitForAHost() {
    for (int number = 0; number < 5; number++) {
      submit("late-" + number, START.plusMillis(600 + 50L * number), 10_000);
    }

    assertThat(estimate(START.plusMillis(1_000))).isEqualTo(60_000);
  }

  @Test
  void jobsThatEndedCountAsArrivals() {
    submit("a", START, 60_000);
    var unused = estimate(START.plusMillis(50));
    jobRegistry.apply(new CancelJob("a", "q"), new ApplyContext(++index, START.plusMillis(60)));

    assertThat(estimate(START.plusMillis(100))).isEqualTo(12_000);
  }

  @Test
  void longRunningJobsDoNotCountAsArrivals() {
    for (int number = 0; number < 8; number++) {
      submit("job-" + number, START, 60_000, true);
    }

    assertThat(estimate(START.plusMillis(10))).isEqualTo(0);
  }

  private long estimate(Instant now) {
    return demand
        .estimate(jobRegistry.active(), ImmutableMap.of(), ImmutableMap.of(), now)
        .getOrDefault("p", 0L);
  }

  private void submit(String job, Instant at, long objectiveMilliseconds) {
    submit(job, at, objectiveMilliseconds, false);
  }

  private void submit(String job, Instant at, long objectiveMilliseconds, boolean longRunning) {
    StepSpecification step =
        StepSpecification.builder()
            .taskCount(6)
            .uses(2_000, 1, 0)
            .estimateMilliseconds(500)
            .longRunning(longRunning)
            .build();
    JobSpecification specification = new JobSpecification("x", ImmutableList.of(step), 1, 0, 0);
    jobRegistry.apply(
        new AcceptJob(job, "q", specification, new Limits("p", 0, 3, objectiveMilliseconds)),
        new ApplyContext(++index, at));
  }
}
