package org.verbenawheel.operator;

import com.google.common.collect.ImmutableList;
import org.verbenawheel.configuration.PoolRole;
import org.verbenawheel.configuration.PoolSettings;
import org.verbenawheel.identity.PoolName;
import org.verbenawheel.pool.HostCondition;
import org.verbenawheel.pool.HostRecord;
import org.verbenawheel.pool.PoolView;

/**
 * One line of {@code GET /v1/pools}.
 *
 * @param name the pool
 * @param role what its hosts are for
 * @param minimumHosts how many hosts it keeps powered at least
 * @param maximumHosts how many hosts it may hold
 * @param hosts how many hosts it holds
 * @param inService how many of them do work
 * @param off how many of them are powered off
 * @param lost how many of them are lost
 * @param inActivity how many of them are moved, maintained or switched at the moment
 */
public record PoolReport(
    PoolName name,
    PoolRole role,
    int minimumHosts,
    int maximumHosts,
    int hosts,
    int inService,
    int off,
    int lost,
    int inActivity) {

  /**
   * Returns one line for each pool, in the order of names.
   *
   * @param view the pools and hosts at one moment
   */
  public static ImmutableList<PoolReport> of(PoolView view) {
    return view.pools().values().stream()
        .map(settings -> of(settings, view.hostsOf(settings.name())))
        .collect(ImmutableList.toImmutableList());
  }

  private static PoolReport of(PoolSettings settings, ImmutableList<HostRecord> hosts) {
    return new PoolReport(
        settings.name(),
        settings.role(),
        settings.minimumHosts(),
        settings.maximumHosts(),
        hosts.size(),
        count(hosts, HostCondition.IN_SERVICE),
        count(hosts, HostCondition.OFF),
        count(hosts, HostCondition.LOST),
        Math.toIntExact(hosts.stream().filter(host -> host.activity().isPresent()).count()));
  }

  private static int count(ImmutableList<HostRecord> hosts, HostCondition condition) {
    return Math.toIntExact(hosts.stream().filter(host -> host.condition() == condition).count());
  }
}
