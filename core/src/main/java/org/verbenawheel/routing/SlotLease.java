package org.verbenawheel.routing;

import java.time.Instant;
import org.verbenawheel.identity.EndpointId;
import org.verbenawheel.identity.ProcessId;

/**
 * A slot of an endpoint that is held for one attempt.
 *
 * @param key the attempt
 * @param holder the entry that sends the attempt
 * @param holderIncarnation identifies the start of that entry's process that requested the slot
 * @param endpoint the endpoint that the slot belongs to
 * @param endpointIncarnation identifies the start of the endpoint's process that runs the attempt
 * @param route the kind of work
 * @param grantedAt when the slot was granted
 * @param expiresAt when the slot counts as free even if it has not been released
 */
public record SlotLease(
    AttemptKey key,
    ProcessId holder,
    long holderIncarnation,
    EndpointId endpoint,
    long endpointIncarnation,
    String route,
    Instant grantedAt,
    Instant expiresAt) {

  /**
   * Returns a copy of this lease with another expiry.
   *
   * @param newExpiresAt when the slot counts as free even if it has not been released
   */
  SlotLease expiringAt(Instant newExpiresAt) {
    return new SlotLease(
        key,
        holder,
        holderIncarnation,
        endpoint,
        endpointIncarnation,
        route,
        grantedAt,
        newExpiresAt);
  }
}
