package org.verbenawheel.platform;

import java.time.Instant;
import org.verbenawheel.identity.HostName;

/**
 * The platform's measurement of one host.
 *
 * @param host the host
 * @param measuredAt when it was measured, which may be long before it is read
 * @param powered whether the host was powered
 * @param reachable whether the platform reached the host
 * @param used the resources that the tasks of the host used
 */
public record HostUsage(
    HostName host, Instant measuredAt, boolean powered, boolean reachable, Resources used) {}
