package org.verbenawheel.replication;

import static com.google.common.truth.Truth.assertThat;

import java.util.Optional;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Tests the members of a cluster under overlapping freezes, cuts, replacements and lost disks. Set
 * the system property {@code members.seeds} for a longer run.
 */
final class SeededMembersTest {
  private static final long SEEDS = Long.getLong("members.seeds", 25);

  static LongStream seeds() {
    return LongStream.rangeClosed(1, SEEDS);
  }

  // A host that lives without a vote leaves the cluster one loss short, for ever.
  @ParameterizedTest
  @MethodSource("seeds")
  void livingHostsVoteAndAcknowledgedValuesStay(long seed) {
    assertThat(new SeededMembers(seed).run()).isEqualTo(Optional.empty());
  }
}
