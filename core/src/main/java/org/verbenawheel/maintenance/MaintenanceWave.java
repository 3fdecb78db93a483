package org.verbenawheel.maintenance;

import com.google.common.collect.ImmutableList;
import java.time.Instant;
import org.verbenawheel.identity.AvailabilityZone;
import org.verbenawheel.identity.HostName;

/**
 * Some hosts of one availability zone that are maintained together.
 *
 * @param number counts the waves since maintenance was started, from 1
 * @param availabilityZone the availability zone that all the hosts are in
 * @param startedAt the state time at which the wave began
 * @param hosts the hosts, in the order in which they are taken out
 */
public record MaintenanceWave(
    int number,
    AvailabilityZone availabilityZone,
    Instant startedAt,
    ImmutableList<HostName> hosts) {}
