package org.verbenawheel.capacity;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.verbenawheel.configuration.Configuration;
import org.verbenawheel.configuration.PoolSettings;
import org.verbenawheel.configuration.ServiceSettings;
import org.verbenawheel.identity.PoolName;
import org.verbenawheel.identity.ServiceName;

/**
 * The hosts that a pool must keep, from the settings and demand of its services.
 *
 * @param pool the pool
 * @param hosts how many hosts must take work
 * @param budgetLeft the share of requests that the service with the least budget may still leave
 *     unanswered
 */
public record PoolNeed(PoolName pool, int hosts, double budgetLeft) {
  /** Demand measured longer ago than this counts as unknown. */
  public static final Duration DEMAND_LIFETIME = Duration.ofMinutes(10);

  /**
   * Returns the need of each pool. Pools with a service of unknown or outdated demand are omitted:
   * no host may be taken from them.
   *
   * @param configuration the accepted configuration
   * @param demands the known demand by service
   * @param now the current time
   */
  public static ImmutableMap<PoolName, PoolNeed> of(
      Configuration configuration, ImmutableMap<ServiceName, ServiceDemand> demands, Instant now) {
    ImmutableMap.Builder<PoolName, PoolNeed> needs = ImmutableMap.builder();
    for (PoolSettings pool : configuration.pools().values()) {
      needOf(pool, configuration, demands, now).ifPresent(need -> needs.put(pool.name(), need));
    }
    return needs.buildOrThrow();
  }

  private static Optional<PoolNeed> needOf(
      PoolSettings pool,
      Configuration configuration,
      ImmutableMap<ServiceName, ServiceDemand> demands,
      Instant now) {
    int hosts = 0;
    double budgetLeft = 1;
    for (ServiceSettings service : servicesOf(pool, configuration)) {
      ServiceDemand demand = demands.get(service.name());
      if (demand == null || demand.measuredAt().plus(DEMAND_LIFETIME).isBefore(now)) {
        return Optional.empty();
      }
      hosts += HostNeed.hosts(service, demand);
      double left = service.availabilityBudget() * Math.max(0, 1 - demand.budgetSpent());
      budgetLeft = Math.min(budgetLeft, left);
    }
    return Optional.of(new PoolNeed(pool.name(), Math.max(hosts, pool.minimumHosts()), budgetLeft));
  }

  private static ImmutableList<ServiceSettings> servicesOf(
      PoolSettings pool, Configuration configuration) {
    return configuration.services().values().stream()
        .filter(service -> service.pool().equals(pool.name()))
        .collect(ImmutableList.toImmutableList());
  }
}
