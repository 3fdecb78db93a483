package org.verbenawheel.replication;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.Optional;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Compares the replicated log with a single list, over seeds of lost, late and repeated messages,
 * crashes that lose unsynced bytes, cut off replicas and lost folders.
 */
final class ReplicatedListTest {
  private static final long SEEDS = 1_000;
  private static final long SEEDS_FOR_NAIVE = 300;
  private static final long SEEDS_FOR_FIVE = 100;

  static LongStream seeds() {
    return LongStream.rangeClosed(1, SEEDS);
  }

  static LongStream seedsForFive() {
    return LongStream.rangeClosed(1, SEEDS_FOR_FIVE);
  }

  @ParameterizedTest
  @MethodSource("seeds")
  void equalsASingleList(long seed) {
    assertThat(new SeededCluster(Variant.CHOSEN, seed, 3).run()).isEqualTo(Optional.empty());
  }

  @ParameterizedTest
  @MethodSource("seedsForFive")
  void equalsASingleListWithFiveReplicas(long seed) {
    assertThat(new SeededCluster(Variant.CHOSEN, seed, 5).run()).isEqualTo(Optional.empty());
  }

  @ParameterizedTest
  @EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "CHOSEN")
  void tellsANaiveWay(Variant naive) {
    long caught =
        LongStream.rangeClosed(1, SEEDS_FOR_NAIVE)
            .filter(seed -> givesAWrongList(naive, seed))
            .limit(1)
            .count();
    assertWithMessage("seeds that tell %s", naive).that(caught).isEqualTo(1);
  }

  private static boolean givesAWrongList(Variant naive, long seed) {
    return new SeededCluster(naive, seed, 3)
        .run()
        .filter(violation -> !violation.startsWith(SeededCluster.NOT_SETTLED))
        .isPresent();
  }
}
