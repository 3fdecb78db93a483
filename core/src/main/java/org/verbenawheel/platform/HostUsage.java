package org.verbenawheel.platform;

import java.time.Instant;
import org.verbenawheel.identity.HostName;

/**
 * What the platform measured at one host.
 *
 * @param host the host
 * @param measuredAt when it was measured, which may be long before it is read
 * @param powered whether the host was powered
 * @param reachable whether the platform reached the host
 * @param used what the host's tasks used
 */
public record HostUsage(
    HostName host, Instant measuredAt, boolean powered, boolean reachable, Resources used) {}
