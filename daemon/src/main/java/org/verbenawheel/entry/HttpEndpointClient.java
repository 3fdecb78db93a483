package org.verbenawheel.entry;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Sets;
import io.micronaut.http.HttpMethod;
import io.micronaut.http.HttpRequest;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.MutableHttpRequest;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.verbenawheel.identity.EndpointId;
import org.verbenawheel.membership.EndpointRecord;
import org.verbenawheel.membership.MembershipView;
import org.verbenawheel.request.Body;
import org.verbenawheel.request.CallerAnswer;
import org.verbenawheel.request.CallerRequest;
import org.verbenawheel.request.IdempotencyKey;
import org.verbenawheel.request.RunVerdict;
import org.verbenawheel.routing.AttemptFailure;
import org.verbenawheel.routing.AttemptOutcome;
import org.verbenawheel.routing.EndpointClient;
import org.verbenawheel.supervision.FailureListener;
import org.verbenawheel.supervision.SupervisedPart;
import reactor.core.Disposable;

/**
 * Sends request attempts to endpoints over HTTP and reports for each failure whether the request
 * may have run.
 */
final class HttpEndpointClient implements EndpointClient, SupervisedPart {
  private final EndpointHttpClientFactory clientFactory;
  private final EndpointConnectionLimits limits;
  private final InstantSource clock;
  private final Map<EndpointId, EndpointConnections> connections = new ConcurrentHashMap<>();
  private ScheduledExecutorService probeTimer = newProbeTimer();

  HttpEndpointClient(
      EndpointHttpClientFactory clientFactory,
      EndpointConnectionLimits limits,
      InstantSource clock) {
    this.clientFactory = clientFactory;
    this.limits = limits;
    this.clock = clock;
  }

  @Override
  public String name() {
    return "endpoint-client";
  }

  @Override
  public void start(FailureListener failures) {
    if (probeTimer.isShutdown()) {
      probeTimer = newProbeTimer();
    }
  }

  @Override
  public void stop(Duration grace) {
    probeTimer.shutdownNow();
    connections.values().forEach(EndpointConnections::retire);
    connections.clear();
  }

  @Override
  public CompletableFuture<AttemptOutcome> send(
      EndpointRecord endpoint, CallerRequest request, Duration timeout) {
    EndpointConnections endpointConnections = connectionsTo(endpoint);
    Instant sentAt = clock.instant();
    ScheduledFuture<?> probe =
        probeTimer.schedule(
            () -> endpointConnections.probeIfSilent(sentAt),
            limits.probeDelay().toMillis(),
            TimeUnit.MILLISECONDS);
    CompletableFuture<AttemptOutcome> outcome = new CompletableFuture<>();
    Disposable unused =
        endpointConnections
            .exchange(toHttp(request))
            .timeout(timeout)
            .doFinally(signal -> probe.cancel(false))
            .subscribe(
                response -> outcome.complete(fromHttp(endpoint, response)),
                failure -> outcome.complete(AttemptFailures.classify(failure)),
                () -> outcome.complete(AttemptFailures.NO_ANSWER));
    return outcome;
  }

  /**
   * Closes the connections to endpoints that are no longer members, after their last request.
   *
   * @param view the current membership
   */
  void onMembership(MembershipView view) {
    ImmutableSet<EndpointId> removed =
        Sets.difference(connections.keySet(), view.endpoints().keySet()).immutableCopy();
    removed.forEach(this::retireConnectionsTo);
  }

  /** Returns, by endpoint, how often its connections were replaced because they were silent. */
  ImmutableMap<String, Integer> replacements() {
    ImmutableMap.Builder<String, Integer> counts = ImmutableMap.builder();
    connections.forEach(
        (endpoint, endpointConnections) ->
            counts.put(endpoint.value(), endpointConnections.replacements()));
    return counts.buildOrThrow();
  }

  private void retireConnectionsTo(EndpointId removed) {
    EndpointConnections endpointConnections = connections.remove(removed);
    if (endpointConnections != null) {
      endpointConnections.retire();
    }
  }

  private EndpointConnections connectionsTo(EndpointRecord endpoint) {
    return connections.compute(
        endpoint.id(),
        (id, current) -> {
          if (current != null && current.connectTo(endpoint)) {
            return current;
          }
          if (current != null) {
            current.retire();
          }
          return new EndpointConnections(
              endpoint, () -> clientFactory.newClient(endpoint.address()), clock);
        });
  }

  private MutableHttpRequest<byte[]> toHttp(CallerRequest request) {
    MutableHttpRequest<byte[]> http =
        HttpRequest.create(HttpMethod.parse(request.method()), request.path(), request.method());
    request.headers().values().forEach((name, values) -> values.forEach(v -> http.header(name, v)));
    http.header(EntryHeaders.REQUEST_ID, request.id().value());
    http.header(
        EntryHeaders.DEADLINE_MILLISECONDS,
        Long.toString(request.timeLeft(clock.instant()).toMillis()));
    request.idempotencyKey().ifPresent(key -> http.header(IdempotencyKey.HEADER, key.value()));
    if (request.body().length() > 0) {
      http.body(request.body().toByteArray());
    }
    return http;
  }

  private static AttemptOutcome fromHttp(EndpointRecord endpoint, HttpResponse<byte[]> response) {
    if (RunVerdict.NOT_RUN.name().equals(response.getHeaders().get(RunVerdict.HEADER))) {
      return new AttemptOutcome.Failed(
          AttemptFailure.REFUSED_BY_ENDPOINT,
          RunVerdict.NOT_RUN,
          "the endpoint refused with status " + response.code());
    }
    Body body = response.getBody().map(Body::copyOf).orElse(Body.EMPTY);
    return new AttemptOutcome.Answered(
        new CallerAnswer(
            response.code(),
            EntryHeaders.forwardedHeaders(response.getHeaders()),
            body,
            endpoint.id()));
  }

  private static ScheduledExecutorService newProbeTimer() {
    return Executors.newSingleThreadScheduledExecutor(
        task -> {
          Thread thread = new Thread(task, "endpoint-suspicions");
          thread.setDaemon(true);
          return thread;
        });
  }
}
