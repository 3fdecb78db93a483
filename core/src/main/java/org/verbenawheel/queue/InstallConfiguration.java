package org.verbenawheel.queue;

import org.verbenawheel.replication.ControlCommand;

/**
 * Puts a configuration in force, unless one with the same or a higher version is in force already.
 *
 * @param configuration the validated configuration
 */
public record InstallConfiguration(FleetConfiguration configuration) implements ControlCommand {}
