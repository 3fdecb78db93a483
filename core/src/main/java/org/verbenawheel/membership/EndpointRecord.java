package org.verbenawheel.membership;

import org.verbenawheel.identity.AvailabilityZone;
import org.verbenawheel.identity.EndpointId;
import org.verbenawheel.identity.HostName;
import org.verbenawheel.identity.Rack;
import org.verbenawheel.identity.ServiceName;

/**
 * An endpoint's description of itself in its announcements.
 *
 * @param id the endpoint
 * @param service the only service it runs
 * @param host the host it runs on
 * @param rack the host's rack
 * @param availabilityZone the host's availability zone
 * @param address its HTTP address as {@code ip:port}
 * @param slots how many requests it runs at once
 * @param connections how many connections it accepts from all entries together
 * @param incarnation grows each time the endpoint's process starts; entries ignore late messages of
 *     an earlier process
 */
public record EndpointRecord(
    EndpointId id,
    ServiceName service,
    HostName host,
    Rack rack,
    AvailabilityZone availabilityZone,
    String address,
    int slots,
    int connections,
    long incarnation) {}
