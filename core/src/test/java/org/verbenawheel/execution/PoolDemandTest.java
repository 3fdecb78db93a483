package org.verbenawheel.execution;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.Test;
import org.verbenawheel.job.JobCommands.AcceptJob;
import org.verbenawheel.job.JobCommands.Limits;
import org.verbenawheel.job.JobLedger;
import org.verbenawheel.job.JobSpecification;
import org.verbenawheel.job.StepSpecification;
import org.verbenawheel.replication.ApplyContext;

/** Tests {@link PoolDemand}. */
final class PoolDemandTest {
  private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");

  private final JobLedger ledger = new JobLedger(Duration.ofMinutes(2));
  private final PoolDemand demand = new PoolDemand(job -> job.limits().pool());
  private long index;

  @Test
  void whatIsBoundAndWhatWaitsIsAskedFor() {
    assertThat(
            demand.estimate(
                ledger.active(),
                ImmutableMap.of("p", 5_000L),
                ImmutableMap.of("p", 2_000L, "q", 1_000L),
                START))
        .containsExactly("p", 7_000L, "q", 1_000L);
  }

  @Test
  void surgeShowsInTheWorkOfTheLatestArrivals() {
    for (int number = 0; number < 4; number++) {
      submit("job-" + number, START.plusMillis(100L * number), false);
    }

    // Four jobs of 6 tasks, each 500 ms on 2 cores, within 400 ms.
    assertThat(estimate(START.plusMillis(400))).isEqualTo(60_000);
    assertThat(estimate(START.plusMillis(4_000))).isEqualTo(6_000);
  }

  @Test
  void fewArrivalsAreNoSurge() {
    for (int number = 0; number < 3; number++) {
      submit("job-" + number, START, false);
    }

    assertThat(estimate(START.plusMillis(10))).isEqualTo(0);
  }

  @Test
  void jobsThatLastAreNoSurge() {
    for (int number = 0; number < 8; number++) {
      submit("job-" + number, START, true);
    }

    assertThat(estimate(START.plusMillis(10))).isEqualTo(0);
  }

  private long estimate(Instant now) {
    return demand
        .estimate(ledger.active(), ImmutableMap.of(), ImmutableMap.of(), now)
        .getOrDefault("p", 0L);
  }

  private void submit(String job, Instant at, boolean longRunning) {
    StepSpecification step =
        StepSpecification.builder()
            .taskCount(6)
            .uses(2_000, 1, 0)
            .estimateMilliseconds(500)
            .longRunning(longRunning)
            .build();
    JobSpecification specification = new JobSpecification("x", ImmutableList.of(step), 1, 0, 0);
    ledger.apply(
        new AcceptJob(job, "q", specification, new Limits("p", 0, 3, 60_000)),
        new ApplyContext(++index, at));
  }
}
