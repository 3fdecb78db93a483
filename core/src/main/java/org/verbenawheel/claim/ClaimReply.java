package org.verbenawheel.claim;

import java.time.Instant;
import java.util.Optional;
import org.verbenawheel.identity.ProcessId;
import org.verbenawheel.replication.CommandReply;
import org.verbenawheel.request.CallerAnswer;

/**
 * What the replicated state answers a claim command with.
 *
 * @param status what became of the claim
 * @param answer the first answer; present exactly if the status is {@link ClaimStatus#ANSWERED}
 * @param holder the entry that serves the first request, if there is one
 * @param deadline when the first request ends at the latest, if there is one
 */
public record ClaimReply(
    ClaimStatus status,
    Optional<CallerAnswer> answer,
    Optional<ProcessId> holder,
    Optional<Instant> deadline)
    implements CommandReply {

  /**
   * Returns a reply without further details.
   *
   * @param status what became of the claim
   */
  static ClaimReply of(ClaimStatus status) {
    return new ClaimReply(status, Optional.empty(), Optional.empty(), Optional.empty());
  }
}
