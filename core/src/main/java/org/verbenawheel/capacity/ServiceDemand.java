package org.verbenawheel.capacity;

import java.time.Instant;
import org.verbenawheel.identity.ServiceName;

/**
 * What is known of the demand for one service. It lags: {@code measuredAt} says by how much.
 *
 * @param service the service
 * @param meanSlots how many slots its work filled on average
 * @param peakSlots how many slots it asked for in its bursts
 * @param peakSeconds how long a burst lasts, in seconds
 * @param budgetSpent the share of the availability budget that is spent; 1 or more if all of it is
 * @param measuredAt when the newest request that is counted here ended
 */
public record ServiceDemand(
    ServiceName service,
    double meanSlots,
    double peakSlots,
    double peakSeconds,
    double budgetSpent,
    Instant measuredAt) {}
