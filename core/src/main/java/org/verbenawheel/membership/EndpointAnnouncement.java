package org.verbenawheel.membership;

import java.util.Optional;
import org.verbenawheel.peer.PeerMessage;

/**
 * What an endpoint says to join and, again and again, to stay. Entries pass it on to one another.
 *
 * @param endpoint what the endpoint says of itself
 * @param sequence grows with each announcement of one incarnation
 * @param wantedLeaseMilliseconds how long it wants to stay without a renewal; the entry may grant
 *     less
 * @param token the token of the last reply it got, from whichever entry
 */
public record EndpointAnnouncement(
    EndpointRecord endpoint,
    long sequence,
    long wantedLeaseMilliseconds,
    Optional<LeaseToken> token)
    implements PeerMessage {}
