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

/** Sends attempts to endpoints over HTTP and turns each failure into a verdict. */
final class HttpEndpointClient implements EndpointClient, SupervisedPart {
  private final EndpointHttpClients clients;
  private final EndpointConnectionLimits limits;
  private final InstantSource clock;
  private final Map<EndpointId, EndpointConnections> connections = new ConcurrentHashMap<>();
  private ScheduledExecutorService suspicions = newSuspicionTimer();

  HttpEndpointClient(
      EndpointHttpClients clients, EndpointConnectionLimits limits, InstantSource clock) {
    this.clients = clients;
    this.limits = limits;
    this.clock = clock;
  }

  @Override
  public String name() {
    return "endpoint-client";
  }

  @Override
  public void start(FailureListener failures) {
    if (suspicions.isShutdown()) {
      suspicions = newSuspicionTimer();
    }
  }

  @Override
  public void stop(Duration grace) {
    suspicions.shutdownNow();
    connections.values().forEach(EndpointConnections::retire);
    connections.clear();
  }

  @Override
  public CompletableFuture<AttemptOutcome> send(
      EndpointRecord endpoint, CallerRequest request, Duration timeout) {
    EndpointConnections open = connectionsTo(endpoint);
    Instant sentAt = clock.instant();
    ScheduledFuture<?> suspicion =
        suspicions.schedule(
            () -> open.suspect(sentAt), limits.suspicionDelay().toMillis(), TimeUnit.MILLISECONDS);
    CompletableFuture<AttemptOutcome> outcome = new CompletableFuture<>();
    Disposable unused =
        open.exchange(toHttp(request))
            .timeout(timeout)
            .doFinally(signal -> suspicion.cancel(false))
            .subscribe(
                answer -> outcome.complete(fromHttp(endpoint, answer)),
                failure -> outcome.complete(AttemptFailures.classify(failure)),
                () -> outcome.complete(AttemptFailures.NO_ANSWER));
    return outcome;
  }

  /**
   * Gives up the connections to endpoints that are gone.
   *
   * @param view the present membership
   */
  void onMembership(MembershipView view) {
    ImmutableSet<EndpointId> gone =
        Sets.difference(connections.keySet(), view.endpoints().keySet()).immutableCopy();
    gone.forEach(this::retireConnectionsTo);
  }

  /** Returns how often the connections to each endpoint were replaced after silence. */
  ImmutableMap<String, Integer> replacements() {
    ImmutableMap.Builder<String, Integer> counts = ImmutableMap.builder();
    connections.forEach((endpoint, open) -> counts.put(endpoint.value(), open.replacements()));
    return counts.buildOrThrow();
  }

  private void retireConnectionsTo(EndpointId gone) {
    EndpointConnections open = connections.remove(gone);
    if (open != null) {
      open.retire();
    }
  }

  private EndpointConnections connectionsTo(EndpointRecord endpoint) {
    return connections.compute(
        endpoint.id(),
        (id, present) -> {
          if (present != null && present.leadTo(endpoint)) {
            return present;
          }
          if (present != null) {
            present.retire();
          }
          return new EndpointConnections(endpoint, () -> clients.open(endpoint.address()), clock);
        });
  }

  private MutableHttpRequest<byte[]> toHttp(CallerRequest request) {
    MutableHttpRequest<byte[]> http =
        HttpRequest.create(HttpMethod.parse(request.method()), request.path(), request.method());
    request.headers().values().forEach((name, values) -> values.forEach(v -> http.header(name, v)));
    http.header(HttpNames.REQUEST_ID, request.id().value());
    http.header(
        HttpNames.DEADLINE_MILLISECONDS,
        Long.toString(request.timeLeft(clock.instant()).toMillis()));
    request.idempotencyKey().ifPresent(key -> http.header(IdempotencyKey.HEADER, key.value()));
    if (request.body().length() > 0) {
      http.body(request.body().toByteArray());
    }
    return http;
  }

  private static AttemptOutcome fromHttp(EndpointRecord endpoint, HttpResponse<byte[]> answer) {
    if (RunVerdict.NOT_RUN.name().equals(answer.getHeaders().get(RunVerdict.HEADER))) {
      return new AttemptOutcome.Failed(
          AttemptFailure.REFUSED_BY_ENDPOINT,
          RunVerdict.NOT_RUN,
          "the endpoint refused with status " + answer.code());
    }
    Body body = answer.getBody().map(Body::copyOf).orElse(Body.EMPTY);
    return new AttemptOutcome.Answered(
        new CallerAnswer(
            answer.code(), HttpNames.passedOn(answer.getHeaders()), body, endpoint.id()));
  }

  private static ScheduledExecutorService newSuspicionTimer() {
    return Executors.newSingleThreadScheduledExecutor(
        task -> {
          Thread thread = new Thread(task, "endpoint-suspicions");
          thread.setDaemon(true);
          return thread;
        });
  }
}
