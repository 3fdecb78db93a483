package org.verbenawheel.platform;

import com.google.common.collect.ImmutableList;
import java.time.Instant;

/**
 * What the platform measured lately, with a lag.
 *
 * @param through everything measured up to this moment is in this report or an earlier one; the
 *     next report is asked for from here
 * @param hosts the hosts that changed since the report before
 */
public record UsageReport(Instant through, ImmutableList<HostUsage> hosts) {}
