package org.verbenawheel.membership;

import java.util.Optional;
import org.verbenawheel.identity.ProcessId;
import org.verbenawheel.peer.PeerMessage;

/**
 * What an entry answers to an announcement. The endpoint waits {@code renewAfterMilliseconds}, then
 * announces to {@code homeAddress} with the {@code token}; if that fails, it tries any entry
 * through the balancer with the same token.
 *
 * @param status what became of the announcement
 * @param home the entry that the next renewal should go to
 * @param homeAddress the address of that entry for announcements, if the settings give it
 * @param token to give back with the next announcement
 * @param leaseMilliseconds how long the endpoint stays without a renewal; zero if not granted
 * @param renewAfterMilliseconds when to announce again
 */
public record AnnounceReply(
    AnnounceStatus status,
    ProcessId home,
    Optional<String> homeAddress,
    Optional<LeaseToken> token,
    long leaseMilliseconds,
    long renewAfterMilliseconds)
    implements PeerMessage {}
