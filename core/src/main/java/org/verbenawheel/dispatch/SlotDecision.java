package org.verbenawheel.dispatch;

import java.time.Duration;
import org.verbenawheel.membership.EndpointRecord;
import org.verbenawheel.request.RefusalReason;

/** What became of a ticket at the entry that sent it. */
public sealed interface SlotDecision {
  /**
   * A slot is held for the attempt.
   *
   * @param endpoint where to send the attempt
   */
  record Granted(EndpointRecord endpoint) implements SlotDecision {}

  /**
   * No slot is held, and the attempt must not be sent.
   *
   * @param reason why
   * @param message one sentence for a person
   * @param retryAfter how long the caller should wait
   */
  record Refused(RefusalReason reason, String message, Duration retryAfter)
      implements SlotDecision {}
}
