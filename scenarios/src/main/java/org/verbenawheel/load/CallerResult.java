package org.verbenawheel.load;

import java.util.Map;
import java.util.Optional;
import org.verbenawheel.daemon.Json;
import org.verbenawheel.daemon.MalformedBodyException;
import org.verbenawheel.request.Body;

/**
 * Result of one request: the answer, or the reason why none arrived.
 *
 * @param status the HTTP status; {@link #NO_STATUS} if no answer came
 * @param verdict the value of the answer's verdict header: whether the request was run
 * @param endpoint the endpoint that ran the request
 * @param retryAfterSeconds the {@code Retry-After} header of a refusal, in seconds
 * @param body the body of the answer
 * @param failure the error if no answer came, otherwise empty
 * @param latencyMicroseconds the time from sending to the complete answer or the failure
 */
public record CallerResult(
    int status,
    Optional<String> verdict,
    Optional<String> endpoint,
    Optional<String> retryAfterSeconds,
    Body body,
    String failure,
    long latencyMicroseconds) {
  /** The status of a request that got no answer. */
  public static final int NO_STATUS = 0;

  /** Returns the message of an entry's refusal; empty if an endpoint answered or nobody did. */
  public Optional<String> refusalMessage() {
    if (endpoint.isPresent() || status == NO_STATUS) {
      return Optional.empty();
    }
    try {
      Object message = Json.read(body.toByteArray(), Map.class).get("message");
      return Optional.ofNullable(message).map(Object::toString);
    } catch (MalformedBodyException malformed) {
      return Optional.of("the refusal's body is not a JSON object: " + malformed.getMessage());
    }
  }

  /** Returns the body decoded as UTF-8. */
  public String text() {
    return body.toText();
  }
}
