package org.verbenawheel.configuration;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.Range;
import org.verbenawheel.identity.Names;
import org.verbenawheel.identity.PoolName;
import org.verbenawheel.identity.ServiceName;

/**
 * Checks configurations. The same check runs where a configuration is written, before it is
 * proposed, and when it is applied, so that no invalid one is ever accepted.
 */
public final class Configurations {
  /** The largest number of services in one configuration. */
  public static final int MAXIMUM_SERVICES = 1_000;

  /** The largest number of pools in one configuration. */
  public static final int MAXIMUM_POOLS = 1_000;

  /** The largest number of hosts in one pool. */
  public static final int MAXIMUM_HOSTS_PER_POOL = 10_000;

  private static final Range<Double> OPEN_SHARE = Range.open(0.0, 1.0);
  private static final Range<Double> POSITIVE_SHARE = Range.openClosed(0.0, 1.0);
  private static final Range<Double> SHARE = Range.closed(0.0, 1.0);
  private static final Range<Long> DEADLINE_MILLISECONDS = Range.closed(1L, 86_400_000L);
  private static final Range<Long> QUEUE_LIMIT = Range.closed(1L, 1_000_000L);
  private static final Range<Long> SLOTS = Range.closed(1L, 1_024L);
  private static final Range<Long> CONNECTIONS = Range.closed(1L, 65_536L);

  private Configurations() {}

  /**
   * Checks a configuration.
   *
   * @param configuration what an operator proposes
   * @return every problem, in the order of the configuration; none if it may be accepted
   */
  public static ImmutableList<ConfigurationProblem> check(Configuration configuration) {
    Check check = new Check(configuration);
    check.deployment();
    check.counts();
    configuration.pools().forEach(check::pool);
    configuration.services().forEach(check::service);
    return check.problems.build();
  }

  /** Collects the problems of one configuration. */
  private static final class Check {
    private final Configuration configuration;
    private final ImmutableList.Builder<ConfigurationProblem> problems = ImmutableList.builder();

    private Check(Configuration configuration) {
      this.configuration = configuration;
    }

    private void deployment() {
      try {
        Names.requireName("deployment", configuration.deployment());
      } catch (IllegalArgumentException notAName) {
        add("deployment", "no acceptable name", "1 to 128 letters, digits, . _ : -");
      }
    }

    private void counts() {
      if (configuration.services().size() > MAXIMUM_SERVICES) {
        add("services", configuration.services().size(), "at most " + MAXIMUM_SERVICES);
      }
      if (configuration.pools().size() > MAXIMUM_POOLS) {
        add("pools", configuration.pools().size(), "at most " + MAXIMUM_POOLS);
      }
    }

    private void pool(PoolName name, PoolSettings pool) {
      String key = "pools." + name;
      if (!pool.name().equals(name)) {
        add(key + ".name", pool.name(), "the name that the map gives, " + name);
      }
      if (pool.minimumHosts() < 0) {
        add(key + ".minimumHosts", pool.minimumHosts(), "0 or more");
      }
      if (pool.maximumHosts() < 1 || pool.maximumHosts() > MAXIMUM_HOSTS_PER_POOL) {
        add(key + ".maximumHosts", pool.maximumHosts(), "1 to " + MAXIMUM_HOSTS_PER_POOL);
      }
      if (pool.minimumHosts() > pool.maximumHosts()) {
        add(
            key + ".minimumHosts",
            pool.minimumHosts(),
            "at most maximumHosts, which is " + pool.maximumHosts());
      }
    }

    private void service(ServiceName name, ServiceSettings service) {
      String key = "services." + name;
      if (!service.name().equals(name)) {
        add(key + ".name", service.name(), "the name that the map gives, " + name);
      }
      if (!configuration.pools().containsKey(service.pool())) {
        add(key + ".pool", service.pool(), "one of the pools " + configuration.pools().keySet());
      }
      share(key + ".availabilityBudget", service.availabilityBudget(), OPEN_SHARE);
      number(key + ".deadlineMilliseconds", service.deadlineMilliseconds(), DEADLINE_MILLISECONDS);
      number(key + ".queueLimit", service.queueLimit(), QUEUE_LIMIT);
      number(key + ".slotsPerEndpoint", service.slotsPerEndpoint(), SLOTS);
      number(key + ".connectionsPerEndpoint", service.connectionsPerEndpoint(), CONNECTIONS);
      share(key + ".longWorkSlotShare", service.longWorkSlotShare(), POSITIVE_SHARE);
      share(key + ".retryBudgetShare", service.retryBudgetShare(), SHARE);
      relations(key, service);
    }

    private void relations(String key, ServiceSettings service) {
      if (service.shortWorkMilliseconds() < 1
          || service.shortWorkMilliseconds() > service.deadlineMilliseconds()) {
        add(
            key + ".shortWorkMilliseconds",
            service.shortWorkMilliseconds(),
            "1 to deadlineMilliseconds, which is " + service.deadlineMilliseconds());
      }
      if (service.connectionsPerEndpoint() < service.slotsPerEndpoint()) {
        add(
            key + ".connectionsPerEndpoint",
            service.connectionsPerEndpoint(),
            "at least slotsPerEndpoint, which is " + service.slotsPerEndpoint());
      }
    }

    private void share(String key, double value, Range<Double> range) {
      if (!Double.isFinite(value) || !range.contains(value)) {
        add(key, value, "a share in " + range);
      }
    }

    private void number(String key, long value, Range<Long> range) {
      if (!range.contains(value)) {
        add(key, value, "a whole number in " + range);
      }
    }

    private void add(String key, Object found, String expected) {
      problems.add(new ConfigurationProblem(key, found.toString(), expected));
    }
  }
}
