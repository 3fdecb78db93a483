package org.verbenawheel.claim;

import java.time.Instant;
import java.util.Optional;
import org.verbenawheel.identity.ProcessId;
import org.verbenawheel.replication.CommandReply;
import org.verbenawheel.request.CallerAnswer;

/**
 * The reply of the replicated state to a claim command.
 *
 * @param status the result of the command
 * @param answer the answer to the request that ran; present if and only if the status is {@link
 *     ClaimStatus#ANSWERED}
 * @param holder the entry that serves the request that holds the claim; present if and only if the
 *     status is {@link ClaimStatus#HELD}
 * @param deadline the latest time at which that request ends; present together with the holder
 */
public record ClaimReply(
    ClaimStatus status,
    Optional<CallerAnswer> answer,
    Optional<ProcessId> holder,
    Optional<Instant> deadline)
    implements CommandReply {

  /** Returns a reply that has only a status. */
  static ClaimReply of(ClaimStatus status) {
    return new ClaimReply(status, Optional.empty(), Optional.empty(), Optional.empty());
  }
}
