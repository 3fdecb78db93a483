package org.verbenawheel.execution;

import java.time.Duration;

/**
 * Intervals and timeouts of the leader's orders to workers.
 *
 * @param lease how long a run may work without contact to the leader
 * @param maximumLease the longest lease that a worker accepts from any leader
 * @param clockTolerance the share by which a worker's clock may be slow, such as 0.02
 * @param longPoll how long a worker may wait for an end before it answers a poll
 * @param pollPause how long the leader waits after an answered poll, to gather ends, before it
 *     polls again
 * @param pollRetry how long the leader waits after a failed poll or a failed start
 * @param stopRetry how long the leader waits before it repeats a stop order
 * @param contactTimeout how long a worker may be silent before it gets no new tasks
 * @param forgetAfter how long a worker may be silent before it is forgotten
 */
public record ExecutionTimings(
    Duration lease,
    Duration maximumLease,
    double clockTolerance,
    Duration longPoll,
    Duration pollPause,
    Duration pollRetry,
    Duration stopRetry,
    Duration contactTimeout,
    Duration forgetAfter) {}
