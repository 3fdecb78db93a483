package org.verbenawheel.dispatch;

import java.time.Duration;
import org.verbenawheel.claim.ClaimOutcome;
import org.verbenawheel.request.CallerOutcome;
import org.verbenawheel.request.Refusal;
import org.verbenawheel.request.RefusalReason;

/** Maps a claim that does not allow the request to be sent to the outcome that its caller gets. */
final class ClaimResponses {
  private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

  private ClaimResponses() {}

  /**
   * Returns the outcome of a request that must not be sent, for any claim other than a granted one.
   */
  static CallerOutcome forClaim(ClaimOutcome claim) {
    if (claim instanceof ClaimOutcome.Answered answered) {
      return answered.answer();
    }
    if (claim instanceof ClaimOutcome.OtherRequest) {
      return Refusal.notRun(
          RefusalReason.KEY_REUSED,
          "this idempotency key was already used with a different request; use a new key");
    }
    if (claim instanceof ClaimOutcome.KeyOutsideWindow outside) {
      return Refusal.notRun(RefusalReason.KEY_EXPIRED, outside.message());
    }
    if (claim instanceof ClaimOutcome.Unavailable unavailable) {
      return Refusal.notRun(RefusalReason.NO_QUORUM, unavailable.message(), RETRY_AFTER);
    }
    return Refusal.mayHaveRun(
        RefusalReason.KEY_IN_USE,
        "an earlier request with this idempotency key may have run and its answer is lost;"
            + " check the service for its effect before you use a new key");
  }
}
