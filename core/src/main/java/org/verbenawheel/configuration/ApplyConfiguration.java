package org.verbenawheel.configuration;

import org.verbenawheel.replication.ControlCommand;

/**
 * Puts a configuration in the place of the one that an operator saw.
 *
 * @param expectedVersion the version that the operator started from
 * @param configuration the whole new configuration
 * @param operator who asks, for the history
 */
public record ApplyConfiguration(long expectedVersion, Configuration configuration, String operator)
    implements ControlCommand {}
