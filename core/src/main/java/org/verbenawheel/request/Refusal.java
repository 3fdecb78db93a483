package org.verbenawheel.request;

import java.time.Duration;
import java.util.Optional;

/**
 * A response that the system itself, not an endpoint, gives to a request.
 *
 * @param reason why the request was refused
 * @param verdict whether the request ran, as far as is known
 * @param message one sentence for a person, with the action to take
 * @param retryAfter how long the caller should wait before it retries; empty if a retry would not
 *     help
 */
public record Refusal(
    RefusalReason reason, RunVerdict verdict, String message, Optional<Duration> retryAfter)
    implements CallerOutcome {

  /**
   * Returns a refusal of a request that was not run and that the caller may send again.
   *
   * @param reason why the request was refused
   * @param message one sentence for a person, with the action to take
   * @param retryAfter how long the caller should wait before it retries
   */
  public static Refusal notRun(RefusalReason reason, String message, Duration retryAfter) {
    return new Refusal(reason, RunVerdict.NOT_RUN, message, Optional.of(retryAfter));
  }

  /**
   * Returns a refusal of a request that was not run and that will be refused again if resent as is.
   *
   * @param reason why the request was refused
   * @param message one sentence for a person, with the action to take
   */
  public static Refusal notRun(RefusalReason reason, String message) {
    return new Refusal(reason, RunVerdict.NOT_RUN, message, Optional.empty());
  }

  /**
   * Returns a refusal of a request that an endpoint may have run.
   *
   * @param reason why the request was refused
   * @param message one sentence for a person, with the action to take
   */
  public static Refusal mayHaveRun(RefusalReason reason, String message) {
    return new Refusal(reason, RunVerdict.MAY_HAVE_RUN, message, Optional.empty());
  }
}
