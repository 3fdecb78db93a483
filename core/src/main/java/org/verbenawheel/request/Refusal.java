package org.verbenawheel.request;

import java.time.Duration;
import java.util.Optional;

/**
 * A refusal with its verdict, in the words of the system and not of an endpoint.
 *
 * @param reason why the request was refused
 * @param verdict what is known about whether the request ran
 * @param message one sentence for a person, with what to do about it
 * @param retryAfter how long the caller should wait before it asks again, if asking again may help
 */
public record Refusal(
    RefusalReason reason, RunVerdict verdict, String message, Optional<Duration> retryAfter)
    implements CallerOutcome {

  /**
   * Returns a refusal of a request that was not run and that the caller may send again.
   *
   * @param reason why the request was refused
   * @param message one sentence for a person
   * @param retryAfter how long the caller should wait
   */
  public static Refusal notRun(RefusalReason reason, String message, Duration retryAfter) {
    return new Refusal(reason, RunVerdict.NOT_RUN, message, Optional.of(retryAfter));
  }

  /**
   * Returns a refusal of a request that was not run and that will be refused again unchanged.
   *
   * @param reason why the request was refused
   * @param message one sentence for a person
   */
  public static Refusal notRun(RefusalReason reason, String message) {
    return new Refusal(reason, RunVerdict.NOT_RUN, message, Optional.empty());
  }

  /**
   * Returns a refusal of a request that an endpoint may have run.
   *
   * @param reason why the request was refused
   * @param message one sentence for a person
   */
  public static Refusal mayHaveRun(RefusalReason reason, String message) {
    return new Refusal(reason, RunVerdict.MAY_HAVE_RUN, message, Optional.empty());
  }
}
