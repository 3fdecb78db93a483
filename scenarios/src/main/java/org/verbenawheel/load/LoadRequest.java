package org.verbenawheel.load;

import java.time.Duration;
import java.util.Optional;
import org.verbenawheel.request.Body;
import org.verbenawheel.request.IdempotencyKey;

/**
 * Request of a caller to a service, with the time that a healthy endpoint works on it.
 *
 * @param method the HTTP method
 * @param path the path and query
 * @param body the body; may be empty
 * @param key the idempotency key, if the request has one
 * @param deadline how long the caller can use an answer, sent as the deadline header, if any
 * @param workMicroseconds how long a healthy endpoint works on it
 */
public record LoadRequest(
    String method,
    String path,
    Body body,
    Optional<IdempotencyKey> key,
    Optional<Duration> deadline,
    long workMicroseconds) {

  /**
   * Returns an idempotent request: a GET without a body and a key.
   *
   * @param path the path, without a query
   * @param workMilliseconds how long a fake endpoint works on it; sent in the query
   */
  public static LoadRequest get(String path, long workMilliseconds) {
    return new LoadRequest(
        "GET",
        path + "?milliseconds=" + workMilliseconds,
        Body.EMPTY,
        Optional.empty(),
        Optional.empty(),
        workMilliseconds * 1_000);
  }

  /**
   * Returns a non-idempotent request: a POST under an idempotency key.
   *
   * @param path the path, without a query
   * @param key the idempotency key
   * @param body the body
   * @param workMilliseconds how long a fake endpoint works on it; sent in the query
   */
  public static LoadRequest post(
      String path, IdempotencyKey key, Body body, long workMilliseconds) {
    return new LoadRequest(
        "POST",
        path + "?milliseconds=" + workMilliseconds,
        body,
        Optional.of(key),
        Optional.empty(),
        workMilliseconds * 1_000);
  }

  /**
   * Returns this request with a deadline.
   *
   * @param timeLeft the time from sending after which an answer is of no use to the caller
   */
  public LoadRequest withDeadline(Duration timeLeft) {
    return new LoadRequest(method, path, body, key, Optional.of(timeLeft), workMicroseconds);
  }
}
