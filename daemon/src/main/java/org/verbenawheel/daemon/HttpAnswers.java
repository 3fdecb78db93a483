package org.verbenawheel.daemon;

import io.micronaut.core.type.Argument;
import io.micronaut.http.HttpRequest;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.HttpStatus;
import io.micronaut.http.client.HttpClient;
import io.micronaut.http.client.exceptions.HttpClientResponseException;
import reactor.core.publisher.Mono;

/** Sends requests with Micronaut's HTTP client and returns responses of any status as values. */
public final class HttpAnswers {
  private static final Argument<byte[]> BYTES = Argument.of(byte[].class);

  private HttpAnswers() {}

  /**
   * Sends a request when subscribed to. Cancelling closes its connection.
   *
   * @param client where to send it
   * @param request the request
   * @return the complete response, whatever its status; an error only if there is none
   */
  public static Mono<HttpResponse<byte[]>> exchange(
      HttpClient client, HttpRequest<byte[]> request) {
    return Mono.from(client.exchange(request, BYTES, BYTES))
        .onErrorResume(HttpClientResponseException.class, HttpAnswers::toErrorResponse);
  }

  /**
   * Returns the response that the client threw as an exception. It throws for some error statuses
   * even when told not to; an exception with a status below 400 means that the body is broken.
   */
  @SuppressWarnings("unchecked") // The error type of the exchange is BYTES.
  private static Mono<HttpResponse<byte[]>> toErrorResponse(HttpClientResponseException thrown) {
    return thrown.code() >= HttpStatus.BAD_REQUEST.getCode()
        ? Mono.just((HttpResponse<byte[]>) thrown.getResponse())
        : Mono.error(thrown);
  }
}
