package org.verbenawheel.execution;

import java.time.Duration;

/**
 * How moves of hosts between pools are timed.
 *
 * @param orderLease how long after one leader's order another may give one
 * @param listInterval how often the spare hosts are listed
 * @param longestMove after so long a host that has not arrived may be moved again
 * @param shortageBeforeMove how long tasks of a pool must wait before a host is lent to it
 * @param idleBeforeReturn how long a lent host must be idle before it is given back
 */
public record MoveTimings(
    Duration orderLease,
    Duration listInterval,
    Duration longestMove,
    Duration shortageBeforeMove,
    Duration idleBeforeReturn) {}
