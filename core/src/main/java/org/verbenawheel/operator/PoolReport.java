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
 * @param role whether its hosts serve requests or are spares
 * @param minimumHosts the minimum number of powered hosts
 * @param maximumHosts the maximum number of hosts
 * @param hosts how many hosts are in the pool
 * @param inService how many of them are powered on and accept work
 * @param off how many of them are powered off
 * @param lost how many of them are lost
 * @param inActivity how many of them are being moved, maintained or powered on or off
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
   * Returns one line for each pool, ordered by name.
   *
   * @param view a consistent view of the pools and hosts
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
