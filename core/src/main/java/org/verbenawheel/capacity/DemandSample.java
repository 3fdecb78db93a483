package org.verbenawheel.capacity;

import java.time.Instant;
import org.verbenawheel.identity.ServiceName;

/**
 * The demand for one service in one second, summed over all entries.
 *
 * @param service the service
 * @param at the end of the second
 * @param offeredSlots the work that callers requested, in slots filled for the second
 * @param unansweredSlots the part of it that was refused or missed its deadline
 */
public record DemandSample(
    ServiceName service, Instant at, double offeredSlots, double unansweredSlots) {}
