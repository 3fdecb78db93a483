package org.verbenawheel.claim;

import java.time.Instant;
import java.util.Optional;
import org.verbenawheel.identity.ProcessId;
import org.verbenawheel.identity.RequestId;
import org.verbenawheel.request.CallerAnswer;

/**
 * One claim in the replicated state.
 *
 * @param id the claimed key
 * @param fingerprint stands for the contents of the first request
 * @param requestId the request that holds the claim
 * @param holder the entry that serves that request
 * @param deadline when that request ends at the latest
 * @param ended whether that request ended
 * @param answer its answer, if it has one that is kept
 */
record Claim(
    ClaimId id,
    String fingerprint,
    RequestId requestId,
    ProcessId holder,
    Instant deadline,
    boolean ended,
    Optional<CallerAnswer> answer) {

  /**
   * Returns the claim that a command takes.
   *
   * @param command the command
   */
  static Claim taken(TakeClaim command) {
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
   * Returns this claim after its request ended.
   *
   * @param finalAnswer the answer to keep, if there is one
   */
  Claim endedWith(Optional<CallerAnswer> finalAnswer) {
    return new Claim(id, fingerprint, requestId, holder, deadline, true, finalAnswer);
  }

  /**
   * Returns whether the request may still be served.
   *
   * @param stateTime the time of the replicated state
   */
  boolean isHeldAt(Instant stateTime) {
    return !ended && stateTime.isBefore(deadline);
  }
}
