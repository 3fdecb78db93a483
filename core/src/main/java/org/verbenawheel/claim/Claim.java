package org.verbenawheel.claim;

import java.time.Instant;
import java.util.Optional;
import org.verbenawheel.identity.ProcessId;
import org.verbenawheel.identity.RequestId;
import org.verbenawheel.request.CallerAnswer;

/**
 * The claim of an idempotency key by one request, in the replicated state.
 *
 * @param id the claimed key
 * @param fingerprint a hash of the contents of the request
 * @param requestId the request that holds the claim
 * @param holder the entry that serves the request
 * @param deadline the latest time at which the request ends
 * @param ended whether the request ended
 * @param answer the answer, if the request was answered and the answer is still kept
 */
record Claim(
    ClaimId id,
    String fingerprint,
    RequestId requestId,
    ProcessId holder,
    Instant deadline,
    boolean ended,
    Optional<CallerAnswer> answer) {

  /** Returns a new claim, held by the command's request, without an answer. */
  static Claim fromCommand(TakeClaim command) {
    return new Claim(
        command.id(),
        command.fingerprint(),
        command.requestId(),
        command.holder(),
        command.deadline(),
        false,
        Optional.empty());
  }

  /**
   * Returns a copy of this claim whose request has ended.
   *
   * @param finalAnswer the answer to keep, if any
   */
  Claim endedWith(Optional<CallerAnswer> finalAnswer) {
    return new Claim(id, fingerprint, requestId, holder, deadline, true, finalAnswer);
  }

  /**
   * Returns whether the request may still be in progress.
   *
   * @param stateTime the time of the replicated state
   */
  boolean isHeldAt(Instant stateTime) {
    return !ended && stateTime.isBefore(deadline);
  }
}
