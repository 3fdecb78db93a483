package org.verbenawheel.membership;

import java.util.Optional;
import org.verbenawheel.peer.PeerMessage;

/**
 * Sent by an endpoint to join and, repeatedly, to renew its lease. An entry that does not hold the
 * lease forwards it to the one that does.
 *
 * @param endpoint the endpoint's description of itself
 * @param sequence grows with each announcement of one incarnation
 * @param wantedLeaseMilliseconds the lease duration that the endpoint requests; the entry may grant
 *     a shorter one
 * @param token the token of the last reply that the endpoint received, from any entry
 */
public record EndpointAnnouncement(
    EndpointRecord endpoint,
    long sequence,
    long wantedLeaseMilliseconds,
    Optional<LeaseToken> token)
    implements PeerMessage {}
