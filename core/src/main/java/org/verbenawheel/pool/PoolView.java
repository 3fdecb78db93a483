package org.verbenawheel.pool;

import static com.google.common.collect.ImmutableList.toImmutableList;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import org.verbenawheel.configuration.PoolSettings;
import org.verbenawheel.identity.HostName;
import org.verbenawheel.identity.PoolName;

/**
 * The pools and hosts at one moment. Immutable; deciders take it as their input.
 *
 * @param pools the settings of each pool
 * @param hosts each host by name, in the order of names
 */
public record PoolView(
    ImmutableMap<PoolName, PoolSettings> pools, ImmutableMap<HostName, HostRecord> hosts) {

  /**
   * Returns the hosts of a pool, in the order of names.
   *
   * @param pool the pool
   */
  public ImmutableList<HostRecord> hostsOf(PoolName pool) {
    return hosts.values().stream()
        .filter(host -> host.pool().equals(pool))
        .collect(toImmutableList());
  }
}
