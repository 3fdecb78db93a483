package org.verbenawheel.configuration;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.verbenawheel.codec.MessageCodec;
import org.verbenawheel.identity.PoolName;
import org.verbenawheel.identity.ServiceName;
import org.verbenawheel.replication.ApplyContext;
import org.verbenawheel.replication.CommandReply;
import org.verbenawheel.replication.DamagedSnapshotException;

final class ConfigurationStateTest {
  private final ConfigurationState state = new ConfigurationState();
  private long index;

  @Test
  void refusesTheSecondOfTwoChangesToTheSameVersion() {
    assertThat(apply(0, SampleConfigurations.withQueueLimit(1), "ana"))
        .isEqualTo(new ConfigurationReply.Accepted(1));
    assertThat(apply(0, SampleConfigurations.withQueueLimit(2), "bob"))
        .isEqualTo(new ConfigurationReply.Conflict(0, 1, "ana"));
    assertThat(state.history().current().configuration())
        .isEqualTo(SampleConfigurations.withQueueLimit(1));
  }

  @Test
  void refusesAnInvalidConfiguration() {
    CommandReply reply = apply(0, SampleConfigurations.withQueueLimit(0), "ana");
    assertThat(reply).isInstanceOf(ConfigurationReply.Invalid.class);
    assertThat(state.history()).isEqualTo(ConfigurationHistory.NONE);
  }

  @Test
  void keepsABoundedHistory() {
    int changes = ConfigurationHistory.MAXIMUM_CHANGES + 5;
    for (int version = 0; version < changes; version++) {
      apply(version, SampleConfigurations.withQueueLimit(version + 1), "ana");
    }
    assertThat(state.history().changes()).hasSize(ConfigurationHistory.MAXIMUM_CHANGES);
    assertThat(state.history().changesSince(0)).isEmpty();
    assertThat(state.history().changesSince(changes - 2)).isPresent();
  }

  @Test
  void refusesADamagedSnapshot() {
    assertThrows(DamagedSnapshotException.class, () -> state.restore(new byte[] {1, 2, 3}));
  }

  /**
   * After random changes, the combined delta from each earlier version must reproduce the current
   * configuration, also from a history that was restored from a snapshot.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void deltasReproduceTheCurrentConfiguration(long seed) throws Exception {
    Random random = new Random(seed);
    List<VersionedConfiguration> versions = new ArrayList<>(List.of(VersionedConfiguration.NONE));
    for (int version = 0; version < 40; version++) {
      apply(version, randomConfiguration(random), "ana");
      versions.add(state.history().current());
    }
    ConfigurationState restored = new ConfigurationState();
    restored.restore(state.snapshot());
    assertThat(restored.history()).isEqualTo(state.history());
    VersionedConfiguration current = state.history().current();
    MessageCodec codec = new MessageCodec(ConfigurationMessages.KINDS);
    for (VersionedConfiguration earlier : versions.subList(0, 40)) {
      ConfigurationAnswer answer =
          ConfigurationService.answer(
              new ConfigurationQuestion(earlier.version()), restored.history());
      assertThat(codec.decode(codec.encode(answer))).isEqualTo(answer);
      ConfigurationDelta delta = ((ConfigurationAnswer.Changed) answer).delta();
      assertThat(delta.applyTo(earlier)).isEqualTo(current);
    }
  }

  private static Configuration randomConfiguration(Random random) {
    ImmutableMap.Builder<ServiceName, ServiceSettings> services = ImmutableMap.builder();
    ImmutableMap.Builder<PoolName, PoolSettings> pools = ImmutableMap.builder();
    for (String name : ImmutableList.of("a", "b", "c", "d", "e")) {
      PoolName pool = new PoolName(name);
      if (random.nextInt(3) == 0) {
        continue;
      }
      pools.put(pool, new PoolSettings(pool, PoolRole.SERVING, random.nextInt(3), 9));
      if (random.nextBoolean()) {
        ServiceName service = new ServiceName(name);
        services.put(
            service,
            ServiceSettings.builder(service, pool).queueLimit(1 + random.nextInt(3)).build());
      }
    }
    return new Configuration("derwent", services.buildOrThrow(), pools.buildOrThrow());
  }

  private CommandReply apply(long expectedVersion, Configuration configuration, String operator) {
    index++;
    return state.apply(
        new ApplyConfiguration(expectedVersion, configuration, operator),
        new ApplyContext(index, Instant.EPOCH.plusMillis(index)));
  }
}
