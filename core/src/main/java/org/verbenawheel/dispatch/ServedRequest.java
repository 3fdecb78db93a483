package org.verbenawheel.dispatch;

import com.google.common.collect.ImmutableSet;
import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Future;
import org.jspecify.annotations.Nullable;
import org.verbenawheel.claim.ClaimOutcome;
import org.verbenawheel.claim.ClaimRegister;
import org.verbenawheel.event.Event;
import org.verbenawheel.event.EventLine;
import org.verbenawheel.identity.EndpointId;
import org.verbenawheel.membership.EndpointRecord;
import org.verbenawheel.request.CallerAnswer;
import org.verbenawheel.request.CallerOutcome;
import org.verbenawheel.request.CallerRequest;
import org.verbenawheel.request.Idempotence;
import org.verbenawheel.request.Refusal;
import org.verbenawheel.request.RefusalReason;
import org.verbenawheel.request.RunVerdict;
import org.verbenawheel.routing.AttemptKey;
import org.verbenawheel.routing.AttemptOutcome;
import org.verbenawheel.routing.AttemptReport;
import org.verbenawheel.routing.AttemptResult;
import org.verbenawheel.routing.EndpointClient;

/**
 * Serves one caller's request from its claim to its outcome. All methods run on the dispatch
 * thread.
 *
 * <p>An attempt outlives the caller's deadline: it continues until the endpoint is known to be free
 * or {@link ServiceDispatcher#LATE_ANSWER_LIMIT} passes. So its slot is not granted again while the
 * endpoint still runs it, and a late answer can be recorded for a resend with the same key.
 */
final class ServedRequest {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Duration CLAIM_RETRY_INTERVAL = Duration.ofMillis(50);
  private static final Duration RETRY_AFTER = Duration.ofSeconds(1);
  private static final int MAXIMUM_ATTEMPTS = 3;
  private static final int FIRST_SERVER_ERROR_STATUS = 500;

  private final CallerRequest request;
  private final CompletableFuture<CallerOutcome> outcome;
  private final DispatchNode node;
  private final EndpointClient client;
  private final ClaimRegister claims;
  private final RequestMetrics metrics;
  private ImmutableSet<EndpointId> failedEndpoints = ImmutableSet.of();
  private RunVerdict verdict = RunVerdict.NOT_RUN;
  private Phase phase = Phase.CLAIMING;
  private int attempts;
  private @Nullable Future<?> deadlineTimer;
  private @Nullable Future<?> claimTimer;

  ServedRequest(
      CallerRequest request,
      CompletableFuture<CallerOutcome> outcome,
      DispatchNode node,
      EndpointClient client,
      ClaimRegister claims,
      RequestMetrics metrics) {
    this.request = request;
    this.outcome = outcome;
    this.node = node;
    this.client = client;
    this.claims = claims;
    this.metrics = metrics;
  }

  /** Starts the deadline timer, then claims the key or requests a slot. */
  void start() {
    deadlineTimer = node.schedule(this::onDeadline, request.timeLeft(now()));
    if (needsClaim()) {
      claim();
      return;
    }
    requestSlot();
  }

  /** Abandons the request because its caller hung up; does nothing if it has its outcome. */
  void cancel() {
    if (outcome.isDone()) {
      return;
    }
    metrics.countHungUp();
    abandon("the caller hung up");
  }

  private void claim() {
    phase = Phase.CLAIMING;
    node.whenDone(claims.claim(request), this::onClaimed);
  }

  private void onClaimed(ClaimOutcome claim) {
    if (claim instanceof ClaimOutcome.Granted) {
      onClaimGranted();
    } else if (outcome.isDone()) {
      return;
    } else if (claim instanceof ClaimOutcome.Held) {
      phase = Phase.WAITING_FOR_FIRST;
      claimTimer = node.schedule(this::claim, CLAIM_RETRY_INTERVAL);
    } else {
      finish(ClaimResponses.forClaim(claim));
    }
  }

  private void onClaimGranted() {
    if (outcome.isDone()) {
      recordFailure(RunVerdict.NOT_RUN);
      return;
    }
    requestSlot();
  }

  private void requestSlot() {
    phase = Phase.WAITING_FOR_SLOT;
    attempts++;
    AttemptKey key = currentKey();
    Instant requestedAt = now();
    node.whenDone(
        node.requestSlot(
            request.service(), key, request.route(), request.deadline(), failedEndpoints),
        decision -> onDecision(key, requestedAt, decision));
  }

  private void onDecision(AttemptKey key, Instant requestedAt, SlotDecision decision) {
    if (decision instanceof SlotDecision.Granted granted) {
      send(key, requestedAt, granted.endpoint());
    } else if (decision instanceof SlotDecision.Refused refused) {
      onSlotRefused(refused);
    }
  }

  private void send(AttemptKey key, Instant requestedAt, EndpointRecord endpoint) {
    Instant sentAt = now();
    if (outcome.isDone()) {
      node.release(request.service(), key, AttemptReport.UNUSED);
      return;
    }
    phase = Phase.SENT;
    metrics.countAttempt(key.isRetry(), Duration.between(requestedAt, sentAt));
    Duration timeout = request.timeLeft(sentAt).plus(ServiceDispatcher.LATE_ANSWER_LIMIT);
    node.whenDone(
        client.send(endpoint, request, timeout),
        attemptOutcome -> onAttemptEnded(key, endpoint, sentAt, attemptOutcome));
  }

  private void onAttemptEnded(
      AttemptKey key, EndpointRecord endpoint, Instant sentAt, AttemptOutcome attemptOutcome) {
    double durationMilliseconds = Duration.between(sentAt, now()).toNanos() / 1e6;
    if (attemptOutcome instanceof AttemptOutcome.Answered answered) {
      AttemptResult result = resultOf(answered.answer());
      node.release(request.service(), key, new AttemptReport(durationMilliseconds, result, true));
      onAnswer(answered.answer());
    } else if (attemptOutcome instanceof AttemptOutcome.Failed failed) {
      AttemptReport report =
          new AttemptReport(
              durationMilliseconds,
              outcome.isDone() ? AttemptResult.UNUSED : AttemptResult.FAILED,
              failed.kind().endpointKnownFree());
      node.release(request.service(), key, report);
      onFailedAttempt(endpoint, failed);
    }
  }

  private AttemptResult resultOf(CallerAnswer answer) {
    if (outcome.isDone()) {
      return AttemptResult.ANSWERED_LATE;
    }
    return answer.status() >= FIRST_SERVER_ERROR_STATUS
        ? AttemptResult.SERVICE_ERROR
        : AttemptResult.ANSWERED;
  }

  private void onAnswer(CallerAnswer answer) {
    if (needsClaim()) {
      node.whenDone(claims.recordAnswer(request, answer), recorded -> {});
    }
    finish(answer);
  }

  private void onFailedAttempt(EndpointRecord endpoint, AttemptOutcome.Failed failed) {
    metrics.countFailedAttempt();
    logger.atInfo().log(
        "%s",
        EventLine.of(Event.ATTEMPT_FAILED)
            .with("request", request.id())
            .with("endpoint", endpoint.id())
            .with("kind", failed.kind())
            .with("verdict", failed.verdict())
            .with("reason", failed.message()));
    verdict = verdict.combine(failed.verdict());
    failedEndpoints =
        ImmutableSet.<EndpointId>builder().addAll(failedEndpoints).add(endpoint.id()).build();
    if (outcome.isDone()) {
      recordFailure(verdict);
      return;
    }
    if (mayRetry()) {
      requestSlot();
      return;
    }
    refuse(RefusalReason.ENDPOINT_FAILED, failed.message(), Optional.empty());
  }

  private boolean mayRetry() {
    return attempts < MAXIMUM_ATTEMPTS
        && verdict.mayBeSentAgain(request.idempotence())
        && !request.timeLeft(now()).isZero();
  }

  private void onSlotRefused(SlotDecision.Refused refused) {
    if (!outcome.isDone()) {
      refuse(refused.reason(), refused.message(), Optional.of(refused.retryAfter()));
    }
  }

  private void onDeadline() {
    if (!outcome.isDone()) {
      abandon("the deadline passed");
    }
  }

  private void abandon(String cause) {
    switch (phase) {
      case CLAIMING ->
          finish(
              Refusal.notRun(
                  RefusalReason.DEADLINE_PASSED,
                  cause + " before the idempotency key was claimed",
                  RETRY_AFTER));
      case WAITING_FOR_FIRST ->
          finish(
              Refusal.mayHaveRun(
                  RefusalReason.KEY_IN_USE,
                  cause
                      + " while an earlier request with this idempotency key was being served;"
                      + " send it again with the same key"));
      case WAITING_FOR_SLOT -> {
        node.withdraw(currentKey());
        refuse(
            RefusalReason.DEADLINE_PASSED,
            cause + " while the request waited for a slot",
            Optional.of(RETRY_AFTER));
      }
      case SENT -> abandonSent(cause);
    }
  }

  /**
   * Refuses the request while its attempt continues. The result of the claim is recorded when the
   * attempt ends.
   */
  private void abandonSent(String cause) {
    finish(
        Refusal.mayHaveRun(
            RefusalReason.DEADLINE_PASSED,
            cause
                + " before the complete answer arrived; a non-idempotent request may be sent again"
                + " with the same idempotency key"));
  }

  private void refuse(RefusalReason reason, String message, Optional<Duration> retryAfter) {
    recordFailure(verdict);
    finish(new Refusal(reason, verdict, message, retryAfter));
  }

  private void recordFailure(RunVerdict finalVerdict) {
    if (needsClaim()) {
      node.whenDone(claims.recordFailure(request, finalVerdict), recorded -> {});
    }
  }

  private void finish(CallerOutcome result) {
    cancelTimer(deadlineTimer);
    cancelTimer(claimTimer);
    outcome.complete(result);
  }

  private static void cancelTimer(@Nullable Future<?> timer) {
    if (timer != null) {
      timer.cancel(false);
    }
  }

  private boolean needsClaim() {
    return request.idempotence() == Idempotence.NON_IDEMPOTENT;
  }

  private AttemptKey currentKey() {
    return new AttemptKey(request.id(), attempts);
  }

  private Instant now() {
    return node.clock().instant();
  }

  /** The step that the request is in, which decides what its refusal states. */
  private enum Phase {
    CLAIMING,
    WAITING_FOR_FIRST,
    WAITING_FOR_SLOT,
    SENT
  }
}
