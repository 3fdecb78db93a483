package org.verbenawheel.configuration;

import static com.google.common.truth.Truth.assertThat;
import static org.verbenawheel.configuration.SampleConfigurations.POOL;
import static org.verbenawheel.configuration.SampleConfigurations.SERVICE;

import com.google.common.collect.ImmutableMap;
import org.junit.jupiter.api.Test;
import org.verbenawheel.identity.PoolName;

final class ConfigurationsTest {
  @Test
  void acceptsAValidConfiguration() {
    assertThat(Configurations.check(SampleConfigurations.withQueueLimit(10))).isEmpty();
  }

  @Test
  void reportsAnUnknownPool() {
    ServiceSettings service = ServiceSettings.builder(SERVICE, new PoolName("absent")).build();
    assertThat(Configurations.check(SampleConfigurations.withService(service)))
        .containsExactly(
            new ConfigurationProblem(
                "services.hobart-desk.pool", "absent", "one of the pools [hobart-desk]"));
  }

  @Test
  void reportsEveryNumberThatIsOutOfRange() {
    ServiceSettings service =
        ServiceSettings.builder(SERVICE, POOL)
            .availabilityBudget(Double.NaN)
            .deadlineMilliseconds(0)
            .queueLimit(0)
            .slotsPerEndpoint(65)
            .longWorkSlotShare(0)
            .retryBudgetShare(1.5)
            .build();
    assertThat(
            Configurations.check(SampleConfigurations.withService(service)).stream()
                .map(ConfigurationProblem::key))
        .containsExactly(
            "services.hobart-desk.availabilityBudget",
            "services.hobart-desk.deadlineMilliseconds",
            "services.hobart-desk.queueLimit",
            "services.hobart-desk.longWorkSlotShare",
            "services.hobart-desk.retryBudgetShare",
            "services.hobart-desk.shortWorkMilliseconds",
            "services.hobart-desk.connectionsPerEndpoint");
  }

  @Test
  void reportsAPoolWhoseMinimumExceedsItsMaximum() {
    Configuration configuration =
        new Configuration(
            "derwent",
            ImmutableMap.of(),
            ImmutableMap.of(POOL, new PoolSettings(POOL, PoolRole.SPARE, 10, 9)));
    assertThat(Configurations.check(configuration))
        .containsExactly(
            new ConfigurationProblem(
                "pools.hobart-desk.minimumHosts", "10", "at most maximumHosts, which is 9"));
  }
}
