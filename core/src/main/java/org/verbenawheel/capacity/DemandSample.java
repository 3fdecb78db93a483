package org.verbenawheel.capacity;

import java.time.Instant;
import org.verbenawheel.identity.ServiceName;

/**
 * What all entries together saw of one service in one second.
 *
 * @param service the service
 * @param at the end of the second
 * @param offeredSlots the work that callers asked for, in slots filled for the second
 * @param unansweredSlots the part of it that was refused or missed its deadline
 */
public record DemandSample(
    ServiceName service, Instant at, double offeredSlots, double unansweredSlots) {}
