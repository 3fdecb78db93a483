package org.verbenawheel.configuration;

import org.verbenawheel.identity.PoolName;

/**
 * The settings of one pool of hosts.
 *
 * @param name the name of the pool
 * @param role whether its hosts serve callers or are kept in reserve
 * @param minimumHosts the minimum number of hosts that the pool keeps powered on
 * @param maximumHosts the maximum number of hosts in the pool
 */
public record PoolSettings(PoolName name, PoolRole role, int minimumHosts, int maximumHosts) {}
