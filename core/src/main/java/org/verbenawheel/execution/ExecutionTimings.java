package org.verbenawheel.execution;

import java.time.Duration;

/**
 * How the leader times its orders to workers.
 *
 * @param lease how long a run may work without word from the leader
 * @param maximumLease the longest lease that a worker grants, whoever asked for it
 * @param clockTolerance the share by which a worker's clock may be slow, such as 0.02
 * @param longLook how long a worker may wait for an end before it answers
 * @param lookPause how long the leader gathers ends before it looks again
 * @param lookRetry how long the leader waits after a look that failed
 * @param stopRetry how long the leader waits before it repeats an order to stop
 * @param contactTimeout how long a worker may be silent before it gets no new tasks
 * @param forgetAfter how long a worker may be silent before it is forgotten
 */
public record ExecutionTimings(
    Duration lease,
    Duration maximumLease,
    double clockTolerance,
    Duration longLook,
    Duration lookPause,
    Duration lookRetry,
    Duration stopRetry,
    Duration contactTimeout,
    Duration forgetAfter) {}
