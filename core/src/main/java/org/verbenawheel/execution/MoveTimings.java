package org.verbenawheel.execution;

import java.time.Duration;

/**
 * Intervals and durations of moves of hosts between pools.
 *
 * @param orderLease how long after a leader's order for a host no other leader may order it
 * @param listInterval how often the hosts of the standby pool are listed
 * @param hostArrivalDelay how long it takes from the order to move a host until its worker takes
 *     tasks
 * @param moveTimeout how long after an order a host that has not arrived may be moved again
 * @param shortageBeforeMove how long tasks of a pool must wait before a host is lent to it
 * @param idleBeforeParking how long a host must be idle before it is parked in the standby pool
 */
public record MoveTimings(
    Duration orderLease,
    Duration listInterval,
    Duration hostArrivalDelay,
    Duration moveTimeout,
    Duration shortageBeforeMove,
    Duration idleBeforeParking) {}
