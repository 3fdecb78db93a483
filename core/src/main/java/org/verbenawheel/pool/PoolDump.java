package org.verbenawheel.pool;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import org.verbenawheel.identity.PoolName;

/**
 * The part of a state dump that shows pools and hosts.
 *
 * @param pools the number of pools
 * @param hosts the number of hosts
 * @param hostsByPool the number of hosts in each pool
 * @param firstHosts the first hosts in the order of names, limited in number
 */
record PoolDump(
    int pools,
    int hosts,
    ImmutableMap<PoolName, Integer> hostsByPool,
    ImmutableList<HostRecord> firstHosts) {}
