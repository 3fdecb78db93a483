package org.verbenawheel.execution;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.verbenawheel.job.StepSpecification;

/**
 * Tests that a worker is sent only as many orders as it can answer before they time out. Orders
 * share a few connections with the polls that extend the worker's lease.
 */
final class UnansweredOrdersTest {
  private static final int TASKS = 1_000;
  private static final int MOST_UNANSWERED = 64;
  private static final Duration ROUND_TRIP = Duration.ofMillis(200);

  private final FleetHarness fleet = new FleetHarness();
  private FakeWorker worker;

  @BeforeEach
  void reportWorkerAndSubmitJob() {
    fleet.report("w1");
    fleet.advance(Duration.ofMillis(500));
    worker = fleet.worker("w1");
    worker.holdAnswers(true);
    fleet.submit("wide", StepSpecification.builder().taskCount(TASKS).uses(1, 1, 0).build());
  }

  // Start orders that wait too long for a connection time out, and each task is bound many times.
  @Test
  void workerIsSentFewStartsBeforeItAnswersAndNoneTwice() {
    for (int trip = 0; trip < 100; trip++) {
      fleet.advance(ROUND_TRIP);
      worker.holdAnswers(false);
      worker.holdAnswers(true);
    }

    assertThat(worker.mostUnanswered()).isAtMost(MOST_UNANSWERED);
    assertThat(worker.running()).hasSize(TASKS);
    assertThat(worker.running().stream().allMatch(run -> run.endsWith("/1"))).isTrue();
  }

  // The tasks of the wide job would take every start until all of them are bound.
  @Test
  void smallJobStartsBesideTheWideOne() {
    fleet.advance(ROUND_TRIP);
    fleet.submit("small", StepSpecification.builder().uses(1_000, 1, 0).build());

    fleet.advance(ROUND_TRIP);

    assertThat(worker.running()).contains("small.0.0.0/1");
    assertThat(worker.running().size()).isLessThan(TASKS);
  }

  // The stop orders of a cancelled job delay the polls as its start orders do.
  @Test
  void workerIsSentFewStopsBeforeItAnswers() {
    for (int trip = 0; trip < 100; trip++) {
      fleet.advance(ROUND_TRIP);
      worker.holdAnswers(false);
      worker.holdAnswers(true);
    }
    fleet.cancel("wide");
    for (int trip = 0; trip < 100; trip++) {
      fleet.advance(ROUND_TRIP);
      worker.holdAnswers(false);
      worker.holdAnswers(true);
    }

    assertThat(worker.mostUnanswered()).isAtMost(MOST_UNANSWERED);
    assertThat(worker.running()).isEmpty();
  }
}
