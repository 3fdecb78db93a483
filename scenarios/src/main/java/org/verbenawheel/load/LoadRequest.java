package org.verbenawheel.load;

import java.time.Duration;
import java.util.Optional;
import org.verbenawheel.request.Body;
import org.verbenawheel.request.IdempotencyKey;

/**
 * One request that a caller sends.
 *
 * @param method the HTTP method
 * @param path the path and query at the address asked
 * @param body the body
 * @param key the idempotency key, if the request has one
 * @param deadline the deadline to name, if any
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
   * Returns an idempotent request.
   *
   * @param path the path and query
   * @param workMilliseconds how long the endpoint is asked to work
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
   * Returns a non-idempotent request.
   *
   * @param path the path
   * @param key the idempotency key
   * @param body the body
   * @param workMilliseconds how long the endpoint is asked to work
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
   * @param time how long an answer is worth something
   */
  public LoadRequest withDeadline(Duration time) {
    return new LoadRequest(method, path, body, key, Optional.of(time), workMicroseconds);
  }
}
