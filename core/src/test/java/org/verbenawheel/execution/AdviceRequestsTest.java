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

/** Tests jobs of a queue whose policy lets only some workers run a step. */
final class AdviceRequestsTest {
  private static final Duration A_MOMENT = Duration.ofMillis(500);

  private final FleetTrial trial = new FleetTrial();

  @BeforeEach
  void configure() {
    AdvicePolicy policy = new AdvicePolicy(100, 10, 5_000);
    QueueRoute queue =
        new QueueRoute("q", "q", "", "p", 3_000, 0, 3, 1.6, 600, Optional.of(policy));
    trial.apply(
        new InstallConfiguration(
            new FleetConfiguration(
                1,
                ImmutableList.of(queue),
                ImmutableList.of(new WorkerPool("p", false, true)),
                "{}")));
    for (int number = 1; number <= 3; number++) {
      trial.report("w" + number);
      trial.worker("w" + number).demandTickets();
    }
    trial.advance(A_MOMENT);
  }

  @Test
  void taskStartsOnlyOnAnApprovedWorkerAndCarriesItsTicket() {
    trial.adviser().allow("w2");
    trial.submit("a", StepSpecification.builder().build());
    trial.advance(A_MOMENT);
    assertThat(trial.worker("w2").running()).isEmpty();

    trial.adviser().answer();
    trial.advance(A_MOMENT);

    assertThat(trial.worker("w2").running()).containsExactly("a.0.0.0/1");
    assertThat(trial.worker("w1").running()).isEmpty();
    assertThat(trial.worker("w3").running()).isEmpty();
  }

  @Test
  void oneQuestionIsOpenAtATimeAndEachStepIsAskedAboutInTurn() {
    trial.adviser().allow("w1");
    trial.submit("a", StepSpecification.builder().taskCount(2).uses(20_000, 1, 0).build());
    trial.submit("b", StepSpecification.builder().build());
    trial.advance(A_MOMENT);
    assertThat(trial.adviser().questions()).containsExactly("a.0.0");

    trial.adviser().answer();
    trial.advance(A_MOMENT);

    assertThat(trial.adviser().questions()).containsExactly("a.0.0", "b.0.0").inOrder();
  }

  @Test
  void lateQuestionIsNotRepeatedForWorkersThatThePolicyForbids() {
    trial.submit("a", StepSpecification.builder().build());
    trial.advance(A_MOMENT);
    trial.adviser().answer();
    trial.advance(Duration.ofSeconds(20));

    assertThat(trial.adviser().questions()).hasSize(1);
  }

  @Test
  void newWorkerIsAskedAbout() {
    trial.submit("a", StepSpecification.builder().build());
    trial.advance(A_MOMENT);
    trial.adviser().answer();
    trial.adviser().allow("w4");
    trial.report("w4");
    trial.worker("w4").demandTickets();
    trial.advance(A_MOMENT);
    assertThat(trial.adviser().lastAsked()).containsExactly("w4");

    trial.adviser().answer();
    trial.advance(A_MOMENT);

    assertThat(trial.worker("w4").running()).containsExactly("a.0.0.0/1");
  }

  @Test
  void newLifeOfAWorkerIsAskedAboutAgain() {
    trial.adviser().allow("w1");
    trial.submit("a", StepSpecification.builder().build());
    trial.advance(A_MOMENT);
    trial.adviser().answer();
    trial.advance(A_MOMENT);
    trial.worker("w1").beBornAgain();
    trial.report("w1");
    trial.advance(A_MOMENT);

    assertThat(trial.adviser().lastAsked()).containsExactly("w1");
  }

  @Test
  void expiredTicketIsAskedForAgain() {
    trial.adviser().allow("w1");
    trial.submit("a", StepSpecification.builder().taskCount(2).uses(32_000, 1, 0).build());
    trial.advance(A_MOMENT);
    trial.adviser().answer();
    trial.advance(Duration.ofSeconds(6));
    assertThat(trial.worker("w1").running()).hasSize(1);
    trial.worker("w1").endAll(RunEnding.DONE);
    trial.advance(A_MOMENT);
    assertThat(trial.adviser().lastAsked()).containsExactly("w1");

    trial.adviser().answer();
    trial.advance(A_MOMENT);

    assertThat(trial.worker("w1").running()).containsExactly("a.0.0.1/1");
  }

  @Test
  void questionWithoutAnswerIsAskedAgainAfterAPause() {
    trial.adviser().allow("w3");
    trial.submit("a", StepSpecification.builder().build());
    trial.advance(A_MOMENT);
    trial.adviser().fail();
    trial.advance(Duration.ofMillis(100));
    assertThat(trial.adviser().questions()).hasSize(1);
    trial.advance(A_MOMENT);
    trial.adviser().answer();
    trial.advance(A_MOMENT);

    assertThat(trial.worker("w3").running()).containsExactly("a.0.0.0/1");
  }
}
