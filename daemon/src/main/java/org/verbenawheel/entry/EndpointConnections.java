package org.verbenawheel.entry;

import io.micronaut.http.HttpRequest;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.client.HttpClient;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Optional;
import java.util.function.Supplier;
import org.verbenawheel.daemon.HttpAnswers;
import org.verbenawheel.membership.EndpointRecord;
import reactor.core.Disposable;
import reactor.core.publisher.Mono;

/**
 * Manages the connections of one entry to one endpoint and replaces those that went silent.
 *
 * <p>A connection can go silent for good while new ones work. If a request waits and no response to
 * any request has arrived over the open connections since it was sent, a probe is sent over a new
 * connection. If the probe is answered, new requests use new connections, and the old ones are
 * closed once their last request has ended. The endpoint itself stays in service.
 */
final class EndpointConnections {
  private static final Duration PROBE_TIMEOUT = Duration.ofSeconds(1);
  private static final String PROBE_PATH = "/health/ready";

  private final EndpointRecord endpoint;
  private final Supplier<HttpClient> clientFactory;
  private final InstantSource clock;
  private Generation current;
  private boolean probeRunning;
  private int replacements;

  EndpointConnections(
      EndpointRecord endpoint, Supplier<HttpClient> clientFactory, InstantSource clock) {
    this.endpoint = endpoint;
    this.clientFactory = clientFactory;
    this.clock = clock;
    this.current = new Generation(clientFactory.get(), clock.instant());
  }

  /**
   * Returns whether these connections go to the same address and incarnation as the given record.
   */
  boolean connectTo(EndpointRecord other) {
    return endpoint.address().equals(other.address())
        && endpoint.incarnation() == other.incarnation();
  }

  /** Sends a request over an idle or a new connection. Cancelling closes the connection. */
  Mono<HttpResponse<byte[]>> exchange(HttpRequest<byte[]> request) {
    return Mono.defer(() -> exchangeOver(acquire(), request));
  }

  /**
   * Probes a new connection if nothing has arrived over the open ones since a request was sent.
   *
   * @param since when the request was sent that still has no response
   */
  void probeIfSilent(Instant since) {
    beginProbe(since).ifPresent(this::probeNewConnection);
  }

  private void probeNewConnection(Generation suspected) {
    HttpClient newClient = clientFactory.get();
    Disposable unused =
        Mono.from(newClient.exchange(HttpRequest.GET(PROBE_PATH), byte[].class))
            .timeout(PROBE_TIMEOUT)
            .subscribe(
                response -> endProbe(suspected, newClient, true),
                failure -> endProbe(suspected, newClient, false));
  }

  /** Closes the connections once the last request over them has ended. */
  synchronized void retire() {
    current.retire();
  }

  /** Returns how often the connections were replaced because they were silent. */
  synchronized int replacements() {
    return replacements;
  }

  private Mono<HttpResponse<byte[]>> exchangeOver(
      Generation generation, HttpRequest<byte[]> request) {
    return HttpAnswers.exchange(generation.client, request)
        .doOnNext(response -> recordResponse(generation))
        .doFinally(signal -> release(generation));
  }

  private synchronized Generation acquire() {
    current.inFlight++;
    return current;
  }

  private synchronized void release(Generation generation) {
    generation.inFlight--;
    generation.closeIfRetired();
  }

  private synchronized void recordResponse(Generation generation) {
    generation.lastResponseAt = clock.instant();
  }

  private synchronized Optional<Generation> beginProbe(Instant since) {
    if (probeRunning || current.lastResponseAt.isAfter(since)) {
      return Optional.empty();
    }
    probeRunning = true;
    return Optional.of(current);
  }

  private synchronized void endProbe(
      Generation suspected, HttpClient newClient, boolean responded) {
    probeRunning = false;
    if (!responded || current != suspected) {
      newClient.close();
      return;
    }
    replacements++;
    current = new Generation(newClient, clock.instant());
    suspected.retire();
  }

  /** Connections that are opened and retired together. Guarded by the enclosing object. */
  private static final class Generation {
    private final HttpClient client;
    private Instant lastResponseAt;
    private int inFlight;
    private boolean retired;

    Generation(HttpClient client, Instant openedAt) {
      this.client = client;
      this.lastResponseAt = openedAt;
    }

    void retire() {
      retired = true;
      closeIfRetired();
    }

    void closeIfRetired() {
      if (retired && inFlight == 0) {
        client.close();
      }
    }
  }
}
