package org.verbenawheel.pool;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import org.verbenawheel.identity.PoolName;

/**
 * The pools in the form that a state dump shows.
 *
 * @param pools how many pools there are
 * @param hosts how many hosts there are
 * @param hostsByPool how many hosts each pool holds
 * @param firstHosts the first hosts by name; bounded
 */
record PoolDump(
    int pools,
    int hosts,
    ImmutableMap<PoolName, Integer> hostsByPool,
    ImmutableList<HostRecord> firstHosts) {}
