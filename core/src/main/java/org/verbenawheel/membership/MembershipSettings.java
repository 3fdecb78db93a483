package org.verbenawheel.membership;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.security.SecureRandom;
import java.time.InstantSource;
import org.verbenawheel.identity.ProcessId;
import org.verbenawheel.peer.PeerLinks;

/**
 * The configuration and dependencies of a {@link MembershipNode}.
 *
 * @param self this entry
 * @param others the other entries
 * @param announceAddresses where endpoints reach each entry directly
 * @param links the connections to the other entries
 * @param clock a monotonic clock
 * @param timings the durations of leases, heartbeats and timeouts
 * @param queriesPeersOnStart whether a starting entry queries the others for their endpoints at
 *     once
 */
record MembershipSettings(
    ProcessId self,
    ImmutableSet<ProcessId> others,
    ImmutableMap<ProcessId, String> announceAddresses,
    PeerLinks links,
    InstantSource clock,
    MembershipTimings timings,
    boolean queriesPeersOnStart) {
  private static final SecureRandom RANDOM = new SecureRandom();

  /** Returns an identity with a new random incarnation. */
  MembershipIdentity newIdentity() {
    long incarnation =
        1 + (RANDOM.nextLong() >>> (Long.SIZE - MembershipIdentity.INCARNATION_BITS + 1));
    return new MembershipIdentity(self, incarnation, others, announceAddresses);
  }
}
