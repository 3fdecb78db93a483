package org.verbenawheel.configuration;

import org.verbenawheel.identity.PoolName;

/**
 * The settings of one pool of hosts.
 *
 * @param name the pool
 * @param role whether its hosts serve callers or are kept in reserve
 * @param minimumHosts how many hosts the pool keeps powered at least
 * @param maximumHosts how many hosts the pool may hold
 */
public record PoolSettings(PoolName name, PoolRole role, int minimumHosts, int maximumHosts) {}
