package org.verbenawheel.daemon;

import io.micronaut.core.type.Argument;
import io.micronaut.http.HttpRequest;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.HttpStatus;
import io.micronaut.http.client.HttpClient;
import io.micronaut.http.client.exceptions.HttpClientResponseException;
import reactor.core.publisher.Mono;

/** Sends requests over Micronaut's HTTP client so that every status is an answer, not a failure. */
public final class HttpAnswers {
  private static final Argument<byte[]> BYTES = Argument.of(byte[].class);

  private HttpAnswers() {}

  /**
   * Sends a request when subscribed to. Cancelling closes the connection.
   *
   * @param client where to send it
   * @param request the request
   * @return the whole answer, of whatever status; fails only if there is none
   */
  public static Mono<HttpResponse<byte[]>> exchange(
      HttpClient client, HttpRequest<byte[]> request) {
    return Mono.from(client.exchange(request, BYTES, BYTES))
        .onErrorResume(HttpClientResponseException.class, HttpAnswers::errorAnswer);
  }

  /** The client throws some error statuses all the same; a lower status means a broken body. */
  @SuppressWarnings("unchecked") // The error type of the exchange is BYTES.
  private static Mono<HttpResponse<byte[]>> errorAnswer(HttpClientResponseException thrown) {
    return thrown.code() >= HttpStatus.BAD_REQUEST.getCode()
        ? Mono.just((HttpResponse<byte[]>) thrown.getResponse())
        : Mono.error(thrown);
  }
}
