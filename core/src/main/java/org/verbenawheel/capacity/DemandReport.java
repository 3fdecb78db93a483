package org.verbenawheel.capacity;

import java.time.Instant;
import org.verbenawheel.identity.ProcessId;
import org.verbenawheel.identity.ServiceName;
import org.verbenawheel.peer.PeerMessage;

/**
 * The demand for one service that one entry measured in one second. The entry sends it to the
 * leader; resending it is idempotent.
 *
 * @param entry the entry that measured it
 * @param service the service
 * @param second the end of the second, truncated to whole seconds
 * @param offeredSlots the work that callers requested at this entry, in slots filled for the second
 * @param unansweredSlots the part of it that was refused or missed its deadline
 */
public record DemandReport(
    ProcessId entry,
    ServiceName service,
    Instant second,
    double offeredSlots,
    double unansweredSlots)
    implements PeerMessage {}
