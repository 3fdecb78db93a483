package org.verbenawheel.pool;

import static com.google.common.collect.ImmutableListMultimap.toImmutableListMultimap;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableListMultimap;
import com.google.common.collect.ImmutableMap;
import org.verbenawheel.configuration.PoolSettings;
import org.verbenawheel.identity.HostName;
import org.verbenawheel.identity.PoolName;

/** An immutable view of the pools and hosts, which deciders take as their input. */
public final class PoolView {
  private final ImmutableMap<PoolName, PoolSettings> pools;
  private final ImmutableMap<HostName, HostRecord> hosts;
  private final ImmutableListMultimap<PoolName, HostRecord> hostsByPool;

  PoolView(ImmutableMap<PoolName, PoolSettings> pools, ImmutableMap<HostName, HostRecord> hosts) {
    this.pools = pools;
    this.hosts = hosts;
    this.hostsByPool =
        hosts.values().stream().collect(toImmutableListMultimap(HostRecord::pool, host -> host));
  }

  /** Returns the settings of each pool. */
  public ImmutableMap<PoolName, PoolSettings> pools() {
    return pools;
  }

  /** Returns the hosts by name, in the order of names. */
  public ImmutableMap<HostName, HostRecord> hosts() {
    return hosts;
  }

  /** Returns the hosts of a pool in the order of names; empty if there is no such pool. */
  public ImmutableList<HostRecord> hostsOf(PoolName pool) {
    return hostsByPool.get(pool);
  }
}
