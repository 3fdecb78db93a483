package org.verbenawheel.pool;

import org.verbenawheel.identity.AvailabilityZone;
import org.verbenawheel.identity.Rack;
import org.verbenawheel.identity.Region;

/**
 * The failure domains that a host belongs to.
 *
 * @param rack the rack, whose hosts share a switch and a power feed
 * @param availabilityZone the availability zone of the rack
 * @param region the region of the availability zone
 */
public record HostLocation(Rack rack, AvailabilityZone availabilityZone, Region region) {}
