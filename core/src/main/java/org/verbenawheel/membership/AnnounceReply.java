package org.verbenawheel.membership;

import java.util.Optional;
import org.verbenawheel.identity.ProcessId;
import org.verbenawheel.peer.PeerMessage;

/**
 * An entry's reply to an announcement. The endpoint waits {@code renewAfterMilliseconds}, then
 * announces to {@code homeAddress} with the {@code token}; if that fails, it announces through the
 * load balancer, to any entry, with the same token.
 *
 * @param status the result of the announcement
 * @param home the entry to send the next renewal to
 * @param homeAddress the address at which that entry takes announcements, if the settings have it
 * @param token to return with the next announcement
 * @param leaseMilliseconds how long the lease lasts without a renewal; zero if none was granted
 * @param renewAfterMilliseconds how long to wait before the next announcement
 */
public record AnnounceReply(
    AnnounceStatus status,
    ProcessId home,
    Optional<String> homeAddress,
    Optional<LeaseToken> token,
    long leaseMilliseconds,
    long renewAfterMilliseconds)
    implements PeerMessage {}
