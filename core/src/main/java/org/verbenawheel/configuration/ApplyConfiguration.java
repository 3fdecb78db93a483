package org.verbenawheel.configuration;

import org.verbenawheel.replication.ControlCommand;

/**
 * Replaces the whole configuration, provided that its version is still the one the operator read.
 *
 * @param expectedVersion the version that the operator read
 * @param configuration the whole new configuration
 * @param operator the operator's name, recorded in the history
 */
public record ApplyConfiguration(long expectedVersion, Configuration configuration, String operator)
    implements ControlCommand {}
