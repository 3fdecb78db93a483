package org.verbenawheel.platform;

import com.google.common.collect.ImmutableList;
import java.time.Instant;

/**
 * The platform's recent measurements, with some delay.
 *
 * @param through the time up to which every measurement is in this or an earlier report; the next
 *     report is requested from here
 * @param hosts the hosts that changed since the previous report
 */
public record UsageReport(Instant through, ImmutableList<HostUsage> hosts) {}
