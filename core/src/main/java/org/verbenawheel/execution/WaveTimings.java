package org.verbenawheel.execution;

import java.time.Duration;

/**
 * Intervals and durations of maintenance waves.
 *
 * @param maintenance how long a host is down for its maintenance
 * @param listInterval how often the hosts are listed while a wave runs
 * @param orderRetry how long to wait before an order is sent again
 * @param hostCycle how long one host takes from its evacuation until it is back
 */
public record WaveTimings(
    Duration maintenance, Duration listInterval, Duration orderRetry, Duration hostCycle) {}
