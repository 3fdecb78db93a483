package org.verbenawheel.dispatch;

import java.time.Duration;
import org.verbenawheel.claim.ClaimOutcome;
import org.verbenawheel.request.CallerOutcome;
import org.verbenawheel.request.Refusal;
import org.verbenawheel.request.RefusalReason;

/** Tells a caller what became of its idempotency key where its request is not to be sent. */
final class ClaimAnswers {
  private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

  private ClaimAnswers() {}

  /** Returns the outcome of a request whose claim was decided against sending it. */
  static CallerOutcome of(ClaimOutcome claimed) {
    if (claimed instanceof ClaimOutcome.Answered answered) {
      return answered.answer();
    }
    if (claimed instanceof ClaimOutcome.OtherRequest) {
      return Refusal.notRun(
          RefusalReason.KEY_REUSED,
          "this idempotency key was used with another request; make a new key");
    }
    if (claimed instanceof ClaimOutcome.KeyOutsideWindow outside) {
      return Refusal.notRun(RefusalReason.KEY_EXPIRED, outside.message());
    }
    if (claimed instanceof ClaimOutcome.Unavailable unavailable) {
      return Refusal.notRun(RefusalReason.NO_QUORUM, unavailable.message(), RETRY_AFTER);
    }
    return Refusal.mayHaveRun(
        RefusalReason.KEY_IN_USE,
        "a first request with this idempotency key may have run and its answer is lost;"
            + " look at the service for its effect before you use a new key");
  }
}
