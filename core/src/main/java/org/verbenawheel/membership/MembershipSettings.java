package org.verbenawheel.membership;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.security.SecureRandom;
import java.time.InstantSource;
import org.verbenawheel.identity.ProcessId;
import org.verbenawheel.peer.PeerLinks;

/**
 * What a {@link MembershipNode} is built from.
 *
 * @param self this entry
 * @param others the other entries
 * @param announceAddresses where endpoints reach each entry directly
 * @param links sends to the other entries
 * @param clock tells instants that never go back
 * @param timings how leases and heartbeats are timed
 * @param asksOnArrival whether a starting entry asks the others at once
 */
record MembershipSettings(
    ProcessId self,
    ImmutableSet<ProcessId> others,
    ImmutableMap<ProcessId, String> announceAddresses,
    PeerLinks links,
    InstantSource clock,
    MembershipTimings timings,
    boolean asksOnArrival) {
  private static final SecureRandom INCARNATIONS = new SecureRandom();

  /** Returns the identity of a new process of this entry. */
  MembershipIdentity newIdentity() {
    long incarnation =
        1 + (INCARNATIONS.nextLong() >>> (Long.SIZE - MembershipIdentity.INCARNATION_BITS + 1));
    return new MembershipIdentity(self, incarnation, others, announceAddresses);
  }
}
