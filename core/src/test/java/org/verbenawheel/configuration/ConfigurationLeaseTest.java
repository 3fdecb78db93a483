package org.verbenawheel.configuration;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.verbenawheel.configuration.ConfigurationLease.Effect;

final class ConfigurationLeaseTest {
  private static final Instant START = Instant.parse("2026-12-04T08:00:00Z");
  private static final long SEEDS = 12;

  private final ConfigurationLease lease = new ConfigurationLease(Duration.ofSeconds(8));

  @Test
  void nothingIsInForceBeforeTheFirstAnswer() {
    assertThat(lease.inForce(START)).isEmpty();
  }

  @Test
  void leaseStartsWhenTheQuestionIsSentNotWhenItIsAnswered() {
    assertThat(lease.onAnswer(START, whole(3))).isEqualTo(Effect.NEWER_VERSION);
    assertThat(lease.inForce(START.plusMillis(7_999))).hasValue(version(3));
    assertThat(lease.inForce(START.plusMillis(8_000))).isEmpty();
  }

  @Test
  void ignoresALateAnswerWithAnOlderVersion() {
    lease.onAnswer(START.plusSeconds(1), whole(4));
    assertThat(lease.onAnswer(START, whole(3))).isEqualTo(Effect.IGNORED);
    assertThat(lease.onAnswer(START, new ConfigurationAnswer.Unchanged(3)))
        .isEqualTo(Effect.IGNORED);
    assertThat(lease.inForce(START.plusSeconds(8))).hasValue(version(4));
  }

  @Test
  void lateConfirmationDoesNotShortenTheLease() {
    lease.onAnswer(START.plusSeconds(1), whole(4));
    lease.onAnswer(START, new ConfigurationAnswer.Unchanged(4));
    assertThat(lease.inForce(START.plusMillis(8_999))).isPresent();
  }

  @Test
  void ignoresADeltaFromAnotherVersion() {
    lease.onAnswer(START, whole(4));
    ConfigurationDelta delta = ConfigurationDelta.between(version(3), version(5));
    assertThat(lease.onAnswer(START, new ConfigurationAnswer.Changed(delta)))
        .isEqualTo(Effect.IGNORED);
  }

  @Test
  void unconfirmedAnswerDoesNotExtendTheLease() {
    lease.onAnswer(START, whole(4));
    lease.onAnswer(START.plusSeconds(7), new ConfigurationAnswer.NotConfirmed(Optional.empty()));
    assertThat(lease.inForce(START.plusSeconds(8))).isEmpty();
  }

  /**
   * With dropped and delayed messages, restarts and a deposed replica, no entry may use a version
   * for longer than the freshness limit after a newer one was accepted, or return to an older
   * version.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12})
  void neverUsesAStaleVersionAndNeverReverts(long seed) {
    FreshnessSimulation.Outcome outcome =
        new FreshnessSimulation(FreshnessSimulation.Protocol.LEASE_FROM_QUESTION, seed).run();
    assertThat(outcome.staleSteps()).isEqualTo(0);
    assertThat(outcome.reversions()).isEqualTo(0);
    assertThat(outcome.stepsInForce()).isGreaterThan(1_000);
    assertThat(outcome.versions()).isGreaterThan(20);
  }

  /** Shows that the simulation detects stale versions, with protocols that allow them. */
  @ParameterizedTest
  @EnumSource(names = {"LEASE_FROM_ARRIVAL", "UNCONFIRMED_REPLICA", "PUSH_ONLY"})
  void unsafeProtocolsUseStaleVersions(FreshnessSimulation.Protocol protocol) {
    long staleSteps =
        LongStream.rangeClosed(1, SEEDS)
            .mapToObj(seed -> new FreshnessSimulation(protocol, seed).run())
            .mapToInt(FreshnessSimulation.Outcome::staleSteps)
            .sum();
    assertThat(staleSteps).isGreaterThan(0);
  }

  /** Shows that the simulation detects reversions, with protocols that allow them. */
  @ParameterizedTest
  @EnumSource(names = {"UNCONFIRMED_REPLICA", "PUSH_ONLY"})
  void unsafeProtocolsRevertToOlderVersions(FreshnessSimulation.Protocol protocol) {
    long reversions =
        LongStream.rangeClosed(1, SEEDS)
            .mapToObj(seed -> new FreshnessSimulation(protocol, seed).run())
            .mapToInt(FreshnessSimulation.Outcome::reversions)
            .sum();
    assertThat(reversions).isGreaterThan(0);
  }

  private static ConfigurationAnswer whole(int version) {
    return new ConfigurationAnswer.Whole(version(version));
  }

  private static VersionedConfiguration version(int version) {
    return new VersionedConfiguration(version, SampleConfigurations.withQueueLimit(version));
  }
}
