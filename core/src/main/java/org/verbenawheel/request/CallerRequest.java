package org.verbenawheel.request;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.verbenawheel.identity.RequestId;
import org.verbenawheel.identity.ServiceName;

/**
 * A complete request of a caller, as an entry holds it in memory while it is served.
 *
 * @param id identifies the request in all processes
 * @param service the service that the request is for
 * @param method the HTTP method
 * @param path the path and query at the endpoint, starting with a slash
 * @param headers the request headers that are forwarded to the endpoint
 * @param body the complete body
 * @param idempotencyKey the caller's key; present if and only if the request is not idempotent
 * @param deadline the time after which an answer is of no use to the caller
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

  /** Returns whether the request may safely run twice, derived from the presence of a key. */
  public Idempotence idempotence() {
    return idempotencyKey.isPresent() ? Idempotence.NON_IDEMPOTENT : Idempotence.IDEMPOTENT;
  }

  /**
   * Returns the time left before the deadline; zero once it has passed.
   *
   * @param now the current time
   */
  public Duration timeLeft(Instant now) {
    Duration left = Duration.between(now, deadline);
    return left.isNegative() ? Duration.ZERO : left;
  }

  /** Returns the method and the path without the query, which identify the kind of work. */
  public String route() {
    int query = path.indexOf('?');
    return method + " " + (query < 0 ? path : path.substring(0, query));
  }
}
