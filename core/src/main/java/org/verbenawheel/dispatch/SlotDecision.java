package org.verbenawheel.dispatch;

import java.time.Duration;
import org.verbenawheel.membership.EndpointRecord;
import org.verbenawheel.request.RefusalReason;

/** The answer to a ticket, as the entry that sent it receives it. */
public sealed interface SlotDecision {
  /**
   * A slot is held for the attempt.
   *
   * @param endpoint the endpoint to send the attempt to
   */
  record Granted(EndpointRecord endpoint) implements SlotDecision {}

  /**
   * No slot is held, and the attempt must not be sent.
   *
   * @param reason the reason as a code
   * @param message the reason as one readable sentence
   * @param retryAfter how long the caller should wait before it retries
   */
  record Refused(RefusalReason reason, String message, Duration retryAfter)
      implements SlotDecision {}
}
