package org.verbenawheel.maintenance;

import com.google.common.collect.ImmutableList;
import java.time.Instant;
import org.verbenawheel.identity.AvailabilityZone;
import org.verbenawheel.identity.HostName;

/**
 * Hosts of one availability zone that are maintained together.
 *
 * @param number the number of the wave, from 1; restarting maintenance does not reset it
 * @param availabilityZone the availability zone of all the hosts
 * @param startedAt when the wave began, by the clock of the replicated state
 * @param hosts the hosts, in the order in which they are taken out of service
 */
public record MaintenanceWave(
    int number,
    AvailabilityZone availabilityZone,
    Instant startedAt,
    ImmutableList<HostName> hosts) {}
