package org.verbenawheel.capacity;

import java.time.Instant;
import org.verbenawheel.identity.ServiceName;

/**
 * The estimated demand for one service. It lags behind: {@code measuredAt} is the time of its
 * newest sample.
 *
 * @param service the service
 * @param meanSlots the mean demand, in slots filled
 * @param peakSlots the highest demand in a burst, in slots filled
 * @param peakSeconds the length of the longest burst, in seconds
 * @param budgetSpent the spent share of the availability budget; 1 or more if all of it is spent
 * @param measuredAt the end of the second of the newest sample
 */
public record ServiceDemand(
    ServiceName service,
    double meanSlots,
    double peakSlots,
    double peakSeconds,
    double budgetSpent,
    Instant measuredAt) {}
