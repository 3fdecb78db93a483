package org.verbenawheel.capacity;

import java.time.Instant;
import org.verbenawheel.identity.ProcessId;
import org.verbenawheel.identity.ServiceName;
import org.verbenawheel.peer.PeerMessage;

/**
 * What one entry saw of one service in one second, sent to the leader. Resending it is idempotent.
 *
 * @param entry the entry
 * @param service the service
 * @param second the end of the second; parts of a second are cut off
 * @param offeredSlots the work that callers asked for at this entry, in slots filled for the second
 * @param unansweredSlots the part of it that was refused or missed its deadline
 */
public record DemandReport(
    ProcessId entry,
    ServiceName service,
    Instant second,
    double offeredSlots,
    double unansweredSlots)
    implements PeerMessage {}
