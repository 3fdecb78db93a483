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
 * Serves callers' requests at one entry: claims the idempotency key of a non-idempotent request,
 * waits for a slot, sends the request to an endpoint, and retries as far as the run verdict and the
 * request's idempotence allow. Every request ends with an answer or with a refusal that states
 * whether it may have run.
 *
 * <p>Thread-safe; the work is done on the {@link DispatchNode}'s thread.
 */
public final class RequestPath {
  private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

  private final DispatchNode node;
  private final EndpointClient client;
  private final ClaimRegister claims;
  private final RequestMetrics metrics;
  private final AtomicInteger inFlight = new AtomicInteger();
  private final Map<RequestId, ServedRequest> active = new ConcurrentHashMap<>();
  private final CompletableFuture<Void> drained = new CompletableFuture<>();
  private volatile boolean draining;

  /**
   * Creates the request path of an entry.
   *
   * @param node provides slots, and its clock, configuration, metrics and thread
   * @param client sends attempts to endpoints
   * @param claims records the claims of idempotency keys
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
   * @return completes with the endpoint's complete answer or a refusal; never fails
   */
  public CompletableFuture<CallerOutcome> serve(CallerRequest request) {
    inFlight.incrementAndGet();
    CompletableFuture<CallerOutcome> outcome = new CompletableFuture<>();
    CompletableFuture<CallerOutcome> ended =
        outcome.whenComplete((result, failure) -> onEnded(request, result));
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
   * Abandons a request whose caller hung up. The slot of an attempt that was sent stays held until
   * the endpoint is known to be free.
   *
   * @param request identifies the request; ignored if it has ended
   */
  public void cancel(RequestId request) {
    node.execute(
        () -> {
          ServedRequest servedRequest = active.get(request);
          if (servedRequest != null) {
            servedRequest.cancel();
          }
        });
  }

  /**
   * Starts to drain: new requests are refused from now on.
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
    Optional<Refusal> refusal = earlyRefusal(request, now, inForce);
    if (refusal.isPresent()) {
      outcome.complete(refusal.get());
      return;
    }
    ServedRequest servedRequest =
        new ServedRequest(request, outcome, node, client, claims, metrics);
    active.put(request.id(), servedRequest);
    servedRequest.start();
  }

  private Optional<Refusal> earlyRefusal(
      CallerRequest request, Instant now, Optional<VersionedConfiguration> inForce) {
    if (inForce.isEmpty()) {
      return Optional.of(
          Refusal.notRun(
              RefusalReason.CONFIGURATION_STALE,
              "this entry cannot confirm that its configuration is current; send the request again",
              RETRY_AFTER));
    }
    ServiceSettings settings = inForce.get().configuration().services().get(request.service());
    if (settings == null) {
      return Optional.of(
          Refusal.notRun(
              RefusalReason.UNKNOWN_SERVICE,
              "service " + request.service() + " is not configured; check the service's name"));
    }
    if (request.timeLeft(now).isZero()) {
      return Optional.of(
          Refusal.notRun(
              RefusalReason.DEADLINE_PASSED,
              "the deadline had already passed when the request arrived; allow more time"));
    }
    return Optional.empty();
  }

  private void onEnded(CallerRequest request, CallerOutcome outcome) {
    active.remove(request.id());
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
