package org.verbenawheel.configuration;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.Range;
import org.verbenawheel.identity.Names;
import org.verbenawheel.identity.PoolName;
import org.verbenawheel.identity.ServiceName;

/**
 * Validates configurations. The same validation runs where a configuration is written, before it is
 * proposed, and when it is applied, so an invalid one is never accepted.
 */
public final class Configurations {
  /** The maximum number of services in a configuration. */
  public static final int MAXIMUM_SERVICES = 1_000;

  /** The maximum number of pools in a configuration. */
  public static final int MAXIMUM_POOLS = 1_000;

  /** The maximum number of hosts that a pool may be configured for. */
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
   * Validates a configuration.
   *
   * @return every problem, in the order of the configuration; empty if the configuration is valid
   */
  public static ImmutableList<ConfigurationProblem> check(Configuration configuration) {
    Validation validation = new Validation(configuration);
    validation.checkDeployment();
    validation.checkCounts();
    configuration.pools().forEach(validation::checkPool);
    configuration.services().forEach(validation::checkService);
    return validation.problems.build();
  }

  /** Collects the problems of one configuration. */
  private static final class Validation {
    private final Configuration configuration;
    private final ImmutableList.Builder<ConfigurationProblem> problems = ImmutableList.builder();

    private Validation(Configuration configuration) {
      this.configuration = configuration;
    }

    private void checkDeployment() {
      try {
        Names.requireName("deployment", configuration.deployment());
      } catch (IllegalArgumentException invalidName) {
        addProblem("deployment", "no acceptable name", "1 to 128 letters, digits, . _ : -");
      }
    }

    private void checkCounts() {
      if (configuration.services().size() > MAXIMUM_SERVICES) {
        addProblem("services", configuration.services().size(), "at most " + MAXIMUM_SERVICES);
      }
      if (configuration.pools().size() > MAXIMUM_POOLS) {
        addProblem("pools", configuration.pools().size(), "at most " + MAXIMUM_POOLS);
      }
    }

    private void checkPool(PoolName name, PoolSettings pool) {
      String key = "pools." + name;
      if (!pool.name().equals(name)) {
        addProblem(key + ".name", pool.name(), "the name that the map gives, " + name);
      }
      if (pool.minimumHosts() < 0) {
        addProblem(key + ".minimumHosts", pool.minimumHosts(), "0 or more");
      }
      if (pool.maximumHosts() < 1 || pool.maximumHosts() > MAXIMUM_HOSTS_PER_POOL) {
        addProblem(key + ".maximumHosts", pool.maximumHosts(), "1 to " + MAXIMUM_HOSTS_PER_POOL);
      }
      if (pool.minimumHosts() > pool.maximumHosts()) {
        addProblem(
            key + ".minimumHosts",
            pool.minimumHosts(),
            "at most maximumHosts, which is " + pool.maximumHosts());
      }
    }

    private void checkService(ServiceName name, ServiceSettings service) {
      String key = "services." + name;
      if (!service.name().equals(name)) {
        addProblem(key + ".name", service.name(), "the name that the map gives, " + name);
      }
      if (!configuration.pools().containsKey(service.pool())) {
        addProblem(
            key + ".pool", service.pool(), "one of the pools " + configuration.pools().keySet());
      }
      checkShare(key + ".availabilityBudget", service.availabilityBudget(), OPEN_SHARE);
      checkNumber(
          key + ".deadlineMilliseconds", service.deadlineMilliseconds(), DEADLINE_MILLISECONDS);
      checkNumber(key + ".queueLimit", service.queueLimit(), QUEUE_LIMIT);
      checkNumber(key + ".slotsPerEndpoint", service.slotsPerEndpoint(), SLOTS);
      checkNumber(key + ".connectionsPerEndpoint", service.connectionsPerEndpoint(), CONNECTIONS);
      checkShare(key + ".longWorkSlotShare", service.longWorkSlotShare(), POSITIVE_SHARE);
      checkShare(key + ".retryBudgetShare", service.retryBudgetShare(), SHARE);
      checkRelatedSettings(key, service);
    }

    private void checkRelatedSettings(String key, ServiceSettings service) {
      if (service.shortWorkMilliseconds() < 1
          || service.shortWorkMilliseconds() > service.deadlineMilliseconds()) {
        addProblem(
            key + ".shortWorkMilliseconds",
            service.shortWorkMilliseconds(),
            "1 to deadlineMilliseconds, which is " + service.deadlineMilliseconds());
      }
      if (service.connectionsPerEndpoint() < service.slotsPerEndpoint()) {
        addProblem(
            key + ".connectionsPerEndpoint",
            service.connectionsPerEndpoint(),
            "at least slotsPerEndpoint, which is " + service.slotsPerEndpoint());
      }
    }

    private void checkShare(String key, double value, Range<Double> range) {
      if (!Double.isFinite(value) || !range.contains(value)) {
        addProblem(key, value, "a share in " + range);
      }
    }

    private void checkNumber(String key, long value, Range<Long> range) {
      if (!range.contains(value)) {
        addProblem(key, value, "a whole number in " + range);
      }
    }

    private void addProblem(String key, Object found, String expected) {
      problems.add(new ConfigurationProblem(key, found.toString(), expected));
    }
  }
}
