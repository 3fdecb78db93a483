package org.verbenawheel.claim;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.Test;
import org.verbenawheel.identity.EndpointId;
import org.verbenawheel.identity.ProcessId;
import org.verbenawheel.identity.RequestId;
import org.verbenawheel.identity.ServiceName;
import org.verbenawheel.replication.ApplyContext;
import org.verbenawheel.replication.ControlCommand;
import org.verbenawheel.replication.DamagedSnapshotException;
import org.verbenawheel.request.Body;
import org.verbenawheel.request.CallerAnswer;
import org.verbenawheel.request.Headers;
import org.verbenawheel.request.IdempotencyKey;
import org.verbenawheel.request.RunVerdict;

final class ClaimStateTest {
  private static final Instant START = Instant.parse("2026-12-04T08:00:00Z");
  private static final ClaimId ID =
      new ClaimId(new ServiceName("hobart-foundry"), IdempotencyKey.create(START, 1));
  private static final RequestId FIRST = new RequestId("first");
  private static final RequestId SECOND = new RequestId("second");
  private static final CallerAnswer ANSWER = answer("poured");

  private final ClaimState state = new ClaimState(ClaimPolicy.DEFAULT);
  private long index;

  @Test
  void grantsAKeyToOneRequestOnly() {
    assertThat(take(FIRST, START)).isEqualTo(ClaimStatus.GRANTED);
    assertThat(take(SECOND, START)).isEqualTo(ClaimStatus.HELD);
  }

  @Test
  void grantsAgainToTheRequestThatHoldsTheKey() {
    take(FIRST, START);
    assertThat(take(FIRST, START)).isEqualTo(ClaimStatus.GRANTED);
  }

  @Test
  void returnsTheFirstAnswerToALaterRequest() {
    take(FIRST, START);
    apply(new RecordAnswer(ID, FIRST, ANSWER), START);
    ClaimReply reply = apply(takeCommand(ID, SECOND, "same"), START);
    assertThat(reply.status()).isEqualTo(ClaimStatus.ANSWERED);
    assertThat(reply.answer()).hasValue(ANSWER);
  }

  @Test
  void releasesTheKeyOfARequestThatWasNotRun() {
    take(FIRST, START);
    apply(new RecordFailure(ID, FIRST, RunVerdict.NOT_RUN), START);
    assertThat(take(SECOND, START)).isEqualTo(ClaimStatus.GRANTED);
  }

  @Test
  void keepsTheKeyOfARequestThatMayHaveRun() {
    take(FIRST, START);
    apply(new RecordFailure(ID, FIRST, RunVerdict.MAY_HAVE_RUN), START);
    assertThat(take(SECOND, START)).isEqualTo(ClaimStatus.MAY_HAVE_RUN);
    assertThat(take(FIRST, START)).isEqualTo(ClaimStatus.MAY_HAVE_RUN);
  }

  @Test
  void ignoresAFailureOfARequestThatDoesNotHoldTheKey() {
    take(FIRST, START);
    apply(new RecordFailure(ID, SECOND, RunVerdict.NOT_RUN), START);
    assertThat(take(SECOND, START)).isEqualTo(ClaimStatus.HELD);
  }

  @Test
  void ignoresALateNotRunFailureOfAnAnsweredKey() {
    take(FIRST, START);
    apply(new RecordAnswer(ID, FIRST, ANSWER), START);
    apply(new RecordFailure(ID, FIRST, RunVerdict.NOT_RUN), START);
    assertThat(take(SECOND, START)).isEqualTo(ClaimStatus.ANSWERED);
  }

  @Test
  void neverGrantsAgainAfterTheDeadlineOfARequestWithoutAnOutcome() {
    take(FIRST, START);
    assertThat(take(SECOND, START.plus(Duration.ofHours(1)))).isEqualTo(ClaimStatus.MAY_HAVE_RUN);
    assertThat(take(FIRST, START.plus(Duration.ofHours(1)))).isEqualTo(ClaimStatus.MAY_HAVE_RUN);
  }

  @Test
  void refusesAKeyUsedForADifferentRequest() {
    take(FIRST, START);
    assertThat(apply(takeCommand(ID, SECOND, "other"), START).status())
        .isEqualTo(ClaimStatus.OTHER_REQUEST);
  }

  @Test
  void neverGrantsAKeyOlderThanTheRetention() {
    take(FIRST, START);
    apply(new RecordAnswer(ID, FIRST, ANSWER), START);
    Instant daysLater = START.plus(Duration.ofDays(3));
    assertThat(take(SECOND, daysLater)).isEqualTo(ClaimStatus.KEY_TOO_OLD);
    assertThat(state.dump().toString()).contains("claims=0");
  }

  @Test
  void discardsTheAnswerBeforeTheKey() {
    take(FIRST, START);
    apply(new RecordAnswer(ID, FIRST, ANSWER), START);
    assertThat(take(SECOND, START.plus(Duration.ofHours(1)))).isEqualTo(ClaimStatus.MAY_HAVE_RUN);
  }

  @Test
  void refusesAKeyCreatedInTheFuture() {
    ClaimId future =
        new ClaimId(ID.service(), IdempotencyKey.create(START.plus(Duration.ofHours(1)), 1));
    assertThat(apply(takeCommand(future, FIRST, "same"), START).status())
        .isEqualTo(ClaimStatus.KEY_IN_FUTURE);
  }

  @Test
  void doesNotKeepAnAnswerAboveTheMaximumSize() {
    take(FIRST, START);
    String large = "x".repeat(ClaimPolicy.DEFAULT.maximumAnswerBytes() + 1);
    apply(new RecordAnswer(ID, FIRST, answer(large)), START);
    assertThat(take(SECOND, START)).isEqualTo(ClaimStatus.MAY_HAVE_RUN);
  }

  @Test
  void restoresClaimsFromASnapshot() throws DamagedSnapshotException {
    take(FIRST, START);
    apply(new RecordAnswer(ID, FIRST, ANSWER), START);
    ClaimState restored = new ClaimState(ClaimPolicy.DEFAULT);
    restored.restore(state.snapshot());
    ClaimReply reply =
        (ClaimReply) restored.apply(takeCommand(ID, SECOND, "same"), new ApplyContext(9, START));
    assertThat(reply.answer()).hasValue(ANSWER);
    assertThat(restored.snapshot()).isEqualTo(state.snapshot());
  }

  private ClaimStatus take(RequestId request, Instant at) {
    return apply(takeCommand(ID, request, "same"), at).status();
  }

  private ClaimReply apply(ControlCommand command, Instant at) {
    index++;
    return (ClaimReply) state.apply(command, new ApplyContext(index, at));
  }

  private static TakeClaim takeCommand(ClaimId id, RequestId request, String fingerprint) {
    return new TakeClaim(
        id, fingerprint, request, new ProcessId("entry-1"), START.plus(Duration.ofSeconds(5)));
  }

  private static CallerAnswer answer(String text) {
    return new CallerAnswer(200, Headers.NONE, Body.ofText(text), new EndpointId("runner-1"));
  }
}
