package org.verbenawheel.dispatch;

import com.codahale.metrics.MetricRegistry;
import com.google.common.collect.ImmutableMap;
import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.verbenawheel.claim.ClaimRegister;
import org.verbenawheel.configuration.ServiceSettings;
import org.verbenawheel.configuration.VersionedConfiguration;
import org.verbenawheel.identity.RequestId;
import org.verbenawheel.request.CallerOutcome;
import org.verbenawheel.request.CallerRequest;
import org.verbenawheel.request.Refusal;
import org.verbenawheel.request.RefusalReason;
import org.verbenawheel.routing.EndpointClient;

/**
 * Serves callers' requests at one entry: claims, waits for a slot, sends, retries as the verdicts
 * allow, and always ends with an answer or a refusal that says whether the request may have run.
 *
 * <p>Safe for use by many threads; the work is done on the {@link DispatchNode}'s thread.
 */
public final class RequestPath {
  private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

  private final DispatchNode node;
  private final EndpointClient client;
  private final ClaimRegister claims;
  private final RequestMetrics metrics;
  private final AtomicInteger inFlight = new AtomicInteger();
  private final Map<RequestId, ServedRequest> served = new ConcurrentHashMap<>();
  private final CompletableFuture<Void> drained = new CompletableFuture<>();
  private volatile boolean draining;

  /**
   * Makes the request path of an entry.
   *
   * @param node grants the slots, and lends its clock, configuration and metrics
   * @param client sends attempts to endpoints
   * @param claims claims idempotency keys
   */
  public RequestPath(DispatchNode node, EndpointClient client, ClaimRegister claims) {
    this.node = node;
    this.client = client;
    this.claims = claims;
    this.metrics = new RequestMetrics(node.metrics());
    node.metrics().gauge(MetricRegistry.name("request", "in-flight"), () -> inFlight::get);
  }

  /**
   * Serves a request.
   *
   * @param request the caller's request
   * @return the endpoint's whole answer, or a refusal; never fails
   */
  public CompletableFuture<CallerOutcome> serve(CallerRequest request) {
    inFlight.incrementAndGet();
    CompletableFuture<CallerOutcome> outcome = new CompletableFuture<>();
    CompletableFuture<CallerOutcome> ended =
        outcome.whenComplete((known, failure) -> end(request, known));
    if (draining) {
      outcome.complete(
          Refusal.notRun(
              RefusalReason.DRAINING,
              "this entry is stopping; send the request again",
              RETRY_AFTER));
      return ended;
    }
    node.execute(() -> start(request, outcome));
    return ended;
  }

  /**
   * Gives up a request whose caller hung up. Its slot stays held until the endpoint is known free.
   *
   * @param request the request
   */
  public void cancel(RequestId request) {
    node.execute(
        () -> {
          ServedRequest hungUp = served.get(request);
          if (hungUp != null) {
            hungUp.cancel();
          }
        });
  }

  /**
   * Refuses new requests from now on.
   *
   * @return completes when no request is in flight
   */
  public CompletableFuture<Void> drain() {
    draining = true;
    completeIfDrained();
    return drained.copy();
  }

  /** Returns how many requests are in flight. */
  public int inFlight() {
    return inFlight.get();
  }

  /** Returns the state of this entry's requests, slots and dispatchers, for a dump. */
  public CompletableFuture<ImmutableMap<String, Object>> dump() {
    return node.dump()
        .thenApply(
            dispatch ->
                ImmutableMap.<String, Object>builder()
                    .put("draining", draining)
                    .put("inFlight", inFlight.get())
                    .putAll(dispatch)
                    .buildOrThrow());
  }

  private void start(CallerRequest request, CompletableFuture<CallerOutcome> outcome) {
    Instant now = node.clock().instant();
    Optional<VersionedConfiguration> inForce = node.configuration().inForce(now);
    Optional<Refusal> refusal = refusalOf(request, now, inForce);
    if (refusal.isPresent()) {
      outcome.complete(refusal.get());
      return;
    }
    ServedRequest started = new ServedRequest(request, outcome, node, client, claims, metrics);
    served.put(request.id(), started);
    started.start();
  }

  private Optional<Refusal> refusalOf(
      CallerRequest request, Instant now, Optional<VersionedConfiguration> inForce) {
    if (inForce.isEmpty()) {
      return Optional.of(
          Refusal.notRun(
              RefusalReason.CONFIGURATION_STALE,
              "this entry cannot confirm its configuration; send the request again",
              RETRY_AFTER));
    }
    ServiceSettings settings = inForce.get().configuration().services().get(request.service());
    if (settings == null) {
      return Optional.of(
          Refusal.notRun(
              RefusalReason.UNKNOWN_SERVICE,
              "no service " + request.service() + " is configured; check the service's name"));
    }
    if (request.timeLeft(now).isZero()) {
      return Optional.of(
          Refusal.notRun(
              RefusalReason.DEADLINE_PASSED,
              "the deadline had passed when the request came; allow more time"));
    }
    return Optional.empty();
  }

  private void end(CallerRequest request, CallerOutcome outcome) {
    served.remove(request.id());
    metrics.countOutcome(outcome);
    inFlight.decrementAndGet();
    completeIfDrained();
  }

  private void completeIfDrained() {
    if (draining && inFlight.get() == 0) {
      drained.complete(null);
    }
  }
}
