package org.verbenawheel.pool;

import org.verbenawheel.identity.AvailabilityZone;
import org.verbenawheel.identity.Rack;
import org.verbenawheel.identity.Region;

/**
 * Says which failure domains a host is in.
 *
 * @param rack the hosts that share a switch and a power feed
 * @param availabilityZone the availability zone of the rack
 * @param region the region of the availability zone
 */
public record HostLocation(Rack rack, AvailabilityZone availabilityZone, Region region) {}
