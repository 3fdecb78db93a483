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
 * The connections of one entry to one endpoint.
 *
 * <p>A connection can go silent for good while new ones work. If no answer at all came over the
 * open connections while one was awaited, a trial is sent over a new connection; if that is
 * answered, new requests use new connections, and the old ones are closed once their last request
 * has ended. The endpoint itself stays in service.
 */
final class EndpointConnections {
  private static final Duration TRIAL_TIMEOUT = Duration.ofSeconds(1);
  private static final String TRIAL_PATH = "/health/ready";

  private final EndpointRecord endpoint;
  private final Supplier<HttpClient> opener;
  private final InstantSource clock;
  private Generation current;
  private boolean trialRunning;
  private int replacements;

  EndpointConnections(EndpointRecord endpoint, Supplier<HttpClient> opener, InstantSource clock) {
    this.endpoint = endpoint;
    this.opener = opener;
    this.clock = clock;
    this.current = new Generation(opener.get(), clock.instant());
  }

  /** Returns whether these connections lead to that process of that endpoint. */
  boolean leadTo(EndpointRecord other) {
    return endpoint.address().equals(other.address())
        && endpoint.incarnation() == other.incarnation();
  }

  /** Sends a request over an open or a new connection. Cancelling closes the connection. */
  Mono<HttpResponse<byte[]>> exchange(HttpRequest<byte[]> request) {
    return Mono.defer(() -> exchangeOver(take(), request));
  }

  /**
   * Tries a new connection if the open ones have been silent.
   *
   * @param since when the request was sent that is still without an answer
   */
  void suspect(Instant since) {
    beginTrial(since).ifPresent(this::tryNewConnection);
  }

  private void tryNewConnection(Generation suspected) {
    HttpClient fresh = opener.get();
    Disposable unused =
        Mono.from(fresh.exchange(HttpRequest.GET(TRIAL_PATH), byte[].class))
            .timeout(TRIAL_TIMEOUT)
            .subscribe(
                answer -> endTrial(suspected, fresh, true),
                failure -> endTrial(suspected, fresh, false));
  }

  /** Closes all connections once the last request over each generation has ended. */
  synchronized void retire() {
    current.retire();
  }

  /** Returns how often the connections were replaced after silence. */
  synchronized int replacements() {
    return replacements;
  }

  private Mono<HttpResponse<byte[]>> exchangeOver(
      Generation generation, HttpRequest<byte[]> request) {
    return HttpAnswers.exchange(generation.client, request)
        .doOnNext(answer -> answered(generation))
        .doFinally(signal -> giveBack(generation));
  }

  private synchronized Generation take() {
    current.inFlight++;
    return current;
  }

  private synchronized void giveBack(Generation generation) {
    generation.inFlight--;
    generation.closeIfRetired();
  }

  private synchronized void answered(Generation generation) {
    generation.lastAnswer = clock.instant();
  }

  private synchronized Optional<Generation> beginTrial(Instant since) {
    if (trialRunning || current.lastAnswer.isAfter(since)) {
      return Optional.empty();
    }
    trialRunning = true;
    return Optional.of(current);
  }

  private synchronized void endTrial(Generation suspected, HttpClient fresh, boolean answered) {
    trialRunning = false;
    if (!answered || current != suspected) {
      fresh.close();
      return;
    }
    replacements++;
    current = new Generation(fresh, clock.instant());
    suspected.retire();
  }

  /** Connections that are used and given up together. Guarded by the enclosing object. */
  private static final class Generation {
    private final HttpClient client;
    private Instant lastAnswer;
    private int inFlight;
    private boolean retired;

    Generation(HttpClient client, Instant openedAt) {
      this.client = client;
      this.lastAnswer = openedAt;
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
