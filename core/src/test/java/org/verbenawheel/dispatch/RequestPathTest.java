package org.verbenawheel.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.verbenawheel.admission.QueueOrder;
import org.verbenawheel.claim.ClaimOutcome;
import org.verbenawheel.dispatch.FakeEndpoints.Fault;
import org.verbenawheel.identity.ServiceName;
import org.verbenawheel.request.CallerAnswer;
import org.verbenawheel.request.CallerOutcome;
import org.verbenawheel.request.CallerRequest;
import org.verbenawheel.request.IdempotencyKey;
import org.verbenawheel.request.Refusal;
import org.verbenawheel.request.RefusalReason;
import org.verbenawheel.request.RunVerdict;

final class RequestPathTest {
  private static final Duration DEADLINE = Duration.ofSeconds(5);

  private final TestDeployment deployment =
      new TestDeployment(1, 3, 2, QueueOrder.EARLIEST_DEADLINE);

  @Test
  void answersThroughEveryEntry() {
    for (int entry = 0; entry < 3; entry++) {
      assertThat(serve(entry, "/quote?run=20")).isInstanceOf(CallerAnswer.class);
    }
    assertThat(deployment.endpoints.attempts()).isEqualTo(3);
  }

  @Test
  void refusesAnUnknownServiceAsNotRun() {
    CallerRequest known = deployment.request("/quote?run=1", DEADLINE);
    CallerRequest unknown =
        new CallerRequest(
            known.id(),
            new ServiceName("nobody"),
            known.method(),
            known.path(),
            known.headers(),
            known.body(),
            known.idempotencyKey(),
            known.deadline());
    assertRefused(
        outcomeOf(deployment.entry(0).serve(unknown)),
        RefusalReason.UNKNOWN_SERVICE,
        RunVerdict.NOT_RUN);
  }

  @Test
  void refusesAsNotRunWithoutEndpoints() {
    deployment.removeEndpoint(TestDeployment.endpoint(0));
    deployment.removeEndpoint(TestDeployment.endpoint(1));
    Refusal refusal =
        assertRefused(serve(0, "/quote?run=1"), RefusalReason.NO_ENDPOINT, RunVerdict.NOT_RUN);
    assertThat(refusal.retryAfter()).isPresent();
  }

  @Test
  void retriesAtAnotherEndpoint() {
    deployment.endpoints.setFault(TestDeployment.endpoint(0), Fault.NOT_CONNECTED);
    for (int index = 0; index < 5; index++) {
      assertThat(serve(0, "/quote?run=1")).isInstanceOf(CallerAnswer.class);
    }
  }

  @Test
  void doesNotRetryNonIdempotentWorkThatMayHaveRun() {
    deployment.endpoints.setFault(TestDeployment.endpoint(0), Fault.CONNECTION_LOST);
    deployment.endpoints.setFault(TestDeployment.endpoint(1), Fault.CONNECTION_LOST);
    IdempotencyKey key = deployment.newKey();
    assertRefused(
        outcomeOf(deployment.entry(0).serve(order("/order?run=1", key))),
        RefusalReason.ENDPOINT_FAILED,
        RunVerdict.MAY_HAVE_RUN);
    assertThat(deployment.endpoints.attempts()).isEqualTo(1);
    assertThat(deployment.claims.stateOf(key)).isInstanceOf(ClaimOutcome.MayHaveRun.class);
  }

  @Test
  void releasesTheKeyOfWorkThatDidNotRun() {
    deployment.endpoints.setFault(TestDeployment.endpoint(0), Fault.NOT_CONNECTED);
    deployment.endpoints.setFault(TestDeployment.endpoint(1), Fault.NOT_CONNECTED);
    IdempotencyKey key = deployment.newKey();
    assertRefused(
        outcomeOf(deployment.entry(0).serve(order("/order?run=1", key))),
        RefusalReason.ENDPOINT_FAILED,
        RunVerdict.NOT_RUN);
    assertThat(deployment.claims.stateOf(key)).isInstanceOf(ClaimOutcome.Granted.class);
  }

  @Test
  void resendThroughAnotherEntryGetsTheFirstAnswer() {
    IdempotencyKey key = deployment.newKey();
    CallerRequest first = order("/order?run=300", key);
    CallerRequest second = order("/order?run=300", key);
    CompletableFuture<CallerOutcome> firstOutcome = deployment.entry(0).serve(first);
    CompletableFuture<CallerOutcome> secondOutcome = deployment.entry(1).serve(second);
    assertThat(outcomeOf(secondOutcome)).isEqualTo(outcomeOf(firstOutcome));
    assertThat(deployment.endpoints.attempts()).isEqualTo(1);
  }

  @Test
  void refusesNonIdempotentWorkAtOnceWithoutAQuorum() {
    deployment.claims.setAvailable(false);
    assertRefused(
        outcomeOf(deployment.entry(0).serve(order("/order?run=1", deployment.newKey()))),
        RefusalReason.NO_QUORUM,
        RunVerdict.NOT_RUN);
    assertThat(serve(0, "/quote?run=1")).isInstanceOf(CallerAnswer.class);
  }

  @Test
  void keepsTheSlotOfAnAttemptWhoseCallerHungUp() {
    List<CallerRequest> fillingRequests = new ArrayList<>();
    for (int index = 0; index < 2 * TestDeployment.SLOTS; index++) {
      CallerRequest request = deployment.request("/quote?run=2000", DEADLINE);
      fillingRequests.add(request);
      var unused = deployment.entry(0).serve(request);
    }
    deployment.time.advance(Duration.ofMillis(50));
    fillingRequests.forEach(request -> deployment.entry(0).path.cancel(request.id()));
    CompletableFuture<CallerOutcome> next =
        deployment.entry(1).serve(deployment.request("/quote?run=1", DEADLINE));
    deployment.time.advance(Duration.ofMillis(1_500));
    assertThat(next.isDone()).isFalse();
    deployment.time.advance(Duration.ofMillis(500));
    assertThat(next.join()).isInstanceOf(CallerAnswer.class);
    assertThat(deployment.endpoints.peakHeld()).isEqualTo(TestDeployment.SLOTS);
  }

  @Test
  void refusesAtTheDeadlineAsMayHaveRunAndRecordsALateAnswer() {
    IdempotencyKey key = deployment.newKey();
    CompletableFuture<CallerOutcome> outcome =
        deployment.entry(0).serve(order("/order?run=8000", key));
    deployment.time.advance(Duration.ofMillis(5_100));
    assertRefused(outcome.join(), RefusalReason.DEADLINE_PASSED, RunVerdict.MAY_HAVE_RUN);
    deployment.time.advance(Duration.ofSeconds(4));
    assertThat(deployment.claims.stateOf(key)).isInstanceOf(ClaimOutcome.Answered.class);
  }

  @Test
  void servesAgainAfterItsDispatcherWasRestarted() {
    DispatchNode dispatcher = deployment.entry(deployment.dispatcherIndex()).node;
    dispatcher.stop(Duration.ZERO);
    deployment.time.advance(Duration.ofSeconds(1));
    dispatcher.start(
        failure -> {
          throw new AssertionError(failure);
        });
    deployment.time.advance(Duration.ofSeconds(1));
    assertThat(serve(0, "/quote?run=20")).isInstanceOf(CallerAnswer.class);
  }

  /**
   * Guards against refusing a route for good: the learned run time of 4.5 s exceeds the later
   * deadline of 2 s, and a refused route yields no faster run times.
   */
  @Test
  void servesAgainAfterItsEndpointsWereSlowForAWhile() {
    for (int index = 0; index < 40; index++) {
      var unused = deployment.entry(0).serve(deployment.request("/quote?run=4500", DEADLINE));
      deployment.time.advance(Duration.ofSeconds(1));
    }
    deployment.time.advance(DEADLINE);
    CompletableFuture<CallerOutcome> hurried =
        deployment.entry(0).serve(deployment.request("/quote?run=20", Duration.ofSeconds(2)));
    assertThat(outcomeOf(hurried)).isInstanceOf(CallerAnswer.class);
  }

  @Test
  void drainsWhenNoRequestIsInFlight() {
    var unused = deployment.entry(0).serve(deployment.request("/quote?run=100", DEADLINE));
    CompletableFuture<Void> drained = deployment.entry(0).path.drain();
    deployment.time.advance(Duration.ofMillis(50));
    assertThat(drained.isDone()).isFalse();
    assertRefused(serve(0, "/quote?run=1"), RefusalReason.DRAINING, RunVerdict.NOT_RUN);
    deployment.time.advance(Duration.ofMillis(100));
    assertThat(drained.isDone()).isTrue();
  }

  private CallerRequest order(String path, IdempotencyKey key) {
    return deployment.request(path, DEADLINE, Optional.of(key));
  }

  private CallerOutcome serve(int entry, String path) {
    return outcomeOf(deployment.entry(entry).serve(deployment.request(path, DEADLINE)));
  }

  private CallerOutcome outcomeOf(CompletableFuture<CallerOutcome> outcome) {
    for (int step = 0; step < 100 && !outcome.isDone(); step++) {
      deployment.time.advance(Duration.ofMillis(100));
    }
    return outcome.getNow(
        Refusal.notRun(
            RefusalReason.BAD_REQUEST, "the request had no outcome within 10 s of virtual time"));
  }

  private static Refusal assertRefused(
      CallerOutcome outcome, RefusalReason reason, RunVerdict verdict) {
    assertThat(outcome).isInstanceOf(Refusal.class);
    Refusal refusal = (Refusal) outcome;
    assertThat(refusal.reason()).isEqualTo(reason);
    assertThat(refusal.verdict()).isEqualTo(verdict);
    return refusal;
  }
}
