package org.verbenawheel.routing;

import java.time.Instant;
import org.verbenawheel.identity.EndpointId;
import org.verbenawheel.identity.ProcessId;

/**
 * One slot of an endpoint, held for one attempt.
 *
 * @param key the attempt
 * @param holder the entry that sends it
 * @param holderIncarnation which start of that entry's process asked for the slot
 * @param endpoint whose slot it is
 * @param endpointIncarnation which start of the endpoint's process holds the attempt
 * @param route the kind of work
 * @param grantedAt when the slot was granted
 * @param expiresAt when the slot counts as free though nobody said so
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
   * Returns this lease with another end.
   *
   * @param newExpiresAt when the slot counts as free though nobody said so
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
