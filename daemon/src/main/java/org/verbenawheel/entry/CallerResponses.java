package org.verbenawheel.entry;

import com.google.common.collect.ImmutableMap;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.HttpStatus;
import io.micronaut.http.MediaType;
import io.micronaut.http.MutableHttpResponse;
import java.time.Duration;
import org.verbenawheel.daemon.Json;
import org.verbenawheel.identity.RequestId;
import org.verbenawheel.request.CallerAnswer;
import org.verbenawheel.request.CallerOutcome;
import org.verbenawheel.request.Refusal;
import org.verbenawheel.request.RunVerdict;

/** Builds the HTTP responses to callers; each has the verdict and the request id as headers. */
final class CallerResponses {
  private static final long MILLISECONDS_PER_SECOND = 1_000;

  private CallerResponses() {}

  /**
   * Returns the response for an outcome: the endpoint's answer, or a refusal as a JSON body.
   *
   * @param id the id of the request
   * @param outcome the answer or the refusal
   */
  static MutableHttpResponse<?> of(RequestId id, CallerOutcome outcome) {
    MutableHttpResponse<?> response =
        outcome instanceof CallerAnswer answer
            ? ofAnswer(answer)
            : ofRefusal(id, (Refusal) outcome);
    return response
        .header(RunVerdict.HEADER, outcome.verdict().name())
        .header(EntryHeaders.REQUEST_ID, id.value());
  }

  private static MutableHttpResponse<?> ofAnswer(CallerAnswer answer) {
    MutableHttpResponse<byte[]> response =
        HttpResponse.<byte[]>status(HttpStatus.OK).status(answer.status());
    answer
        .headers()
        .values()
        .forEach((name, values) -> values.forEach(value -> response.header(name, value)));
    response.header(EntryHeaders.ENDPOINT, answer.endpoint().value());
    return response.body(answer.body().toByteArray());
  }

  private static MutableHttpResponse<?> ofRefusal(RequestId id, Refusal refusal) {
    MutableHttpResponse<String> response =
        HttpResponse.<String>status(HttpStatus.OK).status(refusal.reason().httpStatus());
    refusal
        .retryAfter()
        .ifPresent(wait -> response.header("Retry-After", Long.toString(wholeSeconds(wait))));
    return response
        .contentType(MediaType.APPLICATION_JSON_TYPE)
        .body(
            Json.write(
                ImmutableMap.of(
                    "reason", refusal.reason().name(),
                    "verdict", refusal.verdict().name(),
                    "message", refusal.message(),
                    "requestId", id.value())));
  }

  private static long wholeSeconds(Duration wait) {
    return Math.max(1, (wait.toMillis() + MILLISECONDS_PER_SECOND - 1) / MILLISECONDS_PER_SECOND);
  }
}
