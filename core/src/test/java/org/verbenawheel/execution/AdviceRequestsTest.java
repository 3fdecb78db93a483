package org.verbenawheel.execution;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.verbenawheel.job.RunEnding;
import org.verbenawheel.job.StepSpecification;
import org.verbenawheel.queue.AdvicePolicy;
import org.verbenawheel.queue.FleetConfiguration;
import org.verbenawheel.queue.InstallConfiguration;
import org.verbenawheel.queue.QueueRoute;
import org.verbenawheel.queue.WorkerPool;

/**
 * Tests that workers run a step only with the placement adviser's approval, and which questions are
 * sent to the adviser.
 */
final class AdviceRequestsTest {
  private static final Duration SETTLING_TIME = Duration.ofMillis(500);

  private final FleetHarness harness = new FleetHarness();

  @BeforeEach
  void configure() {
    AdvicePolicy policy = new AdvicePolicy(100, 10, 5_000);
    QueueRoute queue =
        new QueueRoute("q", "q", "", "p", 3_000, 0, 3, 1.6, 600, Optional.of(policy));
    harness.apply(
        new InstallConfiguration(
            new FleetConfiguration(
                1,
                ImmutableList.of(queue),
                ImmutableList.of(new WorkerPool("p", false, true)),
                "{}")));
    for (int number = 1; number <= 3; number++) {
      harness.report("w" + number);
      harness.worker("w" + number).requireTickets();
    }
    harness.advance(SETTLING_TIME);
  }

  @Test
  void taskStartsOnlyOnAnApprovedWorkerAndCarriesItsTicket() {
    harness.adviser().allow("w2");
    harness.submit("a", StepSpecification.builder().build());
    harness.advance(SETTLING_TIME);
    assertThat(harness.worker("w2").running()).isEmpty();

    harness.adviser().answer();
    harness.advance(SETTLING_TIME);

    assertThat(harness.worker("w2").running()).containsExactly("a.0.0.0/1");
    assertThat(harness.worker("w1").running()).isEmpty();
    assertThat(harness.worker("w3").running()).isEmpty();
  }

  @Test
  void oneQuestionIsOpenAtATimeAndEachStepIsAskedAboutInTurn() {
    harness.adviser().allow("w1");
    harness.submit("a", StepSpecification.builder().taskCount(2).uses(20_000, 1, 0).build());
    harness.submit("b", StepSpecification.builder().build());
    harness.advance(SETTLING_TIME);
    assertThat(harness.adviser().questions()).containsExactly("a.0.0");

    harness.adviser().answer();
    harness.advance(SETTLING_TIME);

    assertThat(harness.adviser().questions()).containsExactly("a.0.0", "b.0.0").inOrder();
  }

  @Test
  void questionIsNotRepeatedForWorkersThatThePolicyForbids() {
    harness.submit("a", StepSpecification.builder().build());
    harness.advance(SETTLING_TIME);
    harness.adviser().answer();
    harness.advance(Duration.ofSeconds(20));

    assertThat(harness.adviser().questions()).hasSize(1);
  }

  @Test
  void newWorkerIsAskedAbout() {
    harness.submit("a", StepSpecification.builder().build());
    harness.advance(SETTLING_TIME);
    harness.adviser().answer();
    harness.adviser().allow("w4");
    harness.report("w4");
    harness.worker("w4").requireTickets();
    harness.advance(SETTLING_TIME);
    assertThat(harness.adviser().lastAskedWorkers()).containsExactly("w4");

    harness.adviser().answer();
    harness.advance(SETTLING_TIME);

    assertThat(harness.worker("w4").running()).containsExactly("a.0.0.0/1");
  }

  @Test
  void restartedWorkerIsAskedAboutAgain() {
    harness.adviser().allow("w1");
    harness.submit("a", StepSpecification.builder().build());
    harness.advance(SETTLING_TIME);
    harness.adviser().answer();
    harness.advance(SETTLING_TIME);
    harness.worker("w1").restart();
    harness.report("w1");
    harness.advance(SETTLING_TIME);

    assertThat(harness.adviser().lastAskedWorkers()).containsExactly("w1");
  }

  @Test
  void expiredTicketIsAskedForAgain() {
    harness.adviser().allow("w1");
    harness.submit("a", StepSpecification.builder().taskCount(2).uses(32_000, 1, 0).build());
    harness.advance(SETTLING_TIME);
    harness.adviser().answer();
    harness.advance(Duration.ofSeconds(6));
    assertThat(harness.worker("w1").running()).hasSize(1);
    harness.worker("w1").endAll(RunEnding.DONE);
    harness.advance(SETTLING_TIME);
    assertThat(harness.adviser().lastAskedWorkers()).containsExactly("w1");

    harness.adviser().answer();
    harness.advance(SETTLING_TIME);

    assertThat(harness.worker("w1").running()).containsExactly("a.0.0.1/1");
  }

  @Test
  void failedQuestionIsRetriedAfterAPause() {
    harness.adviser().allow("w3");
    harness.submit("a", StepSpecification.builder().build());
    harness.advance(SETTLING_TIME);
    harness.adviser().fail();
    harness.advance(Duration.ofMillis(100));
    assertThat(harness.adviser().questions()).hasSize(1);
    harness.advance(SETTLING_TIME);
    harness.adviser().answer();
    harness.advance(SETTLING_TIME);

    assertThat(harness.worker("w3").running()).containsExactly("a.0.0.0/1");
  }
}
