package org.verbenawheel.request;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.verbenawheel.identity.RequestId;
import org.verbenawheel.identity.ServiceName;

/**
 * One request of one caller, whole, as an entry holds it while it is served.
 *
 * @param id identifies the request in every process
 * @param service the service asked
 * @param method the HTTP method
 * @param path the path and query at the endpoint, starting with a slash
 * @param headers the headers that are passed on
 * @param body the whole body
 * @param idempotencyKey the caller's key; present exactly if the request is not idempotent
 * @param deadline the moment after which an answer is worth nothing to the caller
 */
public record CallerRequest(
    RequestId id,
    ServiceName service,
    String method,
    String path,
    Headers headers,
    Body body,
    Optional<IdempotencyKey> idempotencyKey,
    Instant deadline) {

  /** Returns whether running the request twice is harmless. */
  public Idempotence idempotence() {
    return idempotencyKey.isPresent() ? Idempotence.NON_IDEMPOTENT : Idempotence.IDEMPOTENT;
  }

  /**
   * Returns the time left before the deadline; zero once it has passed.
   *
   * @param now the present moment
   */
  public Duration timeLeft(Instant now) {
    Duration left = Duration.between(now, deadline);
    return left.isNegative() ? Duration.ZERO : left;
  }

  /** Returns the part of the path without the query, which stands for the kind of work asked. */
  public String route() {
    int query = path.indexOf('?');
    return method + " " + (query < 0 ? path : path.substring(0, query));
  }
}
