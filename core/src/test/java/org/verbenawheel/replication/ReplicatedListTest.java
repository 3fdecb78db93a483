package org.verbenawheel.replication;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.Optional;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Compares the replicated log with a single list. Each seed gives a run with lost, delayed and
 * duplicated messages, crashes that lose unsynced bytes, partitioned replicas and lost folders.
 */
final class ReplicatedListTest {
  private static final long SEEDS = 1_000;
  private static final long SEEDS_FOR_FAULTY_VARIANTS = 300;
  private static final long SEEDS_FOR_FIVE_REPLICAS = 100;

  static LongStream seeds() {
    return LongStream.rangeClosed(1, SEEDS);
  }

  static LongStream seedsForFiveReplicas() {
    return LongStream.rangeClosed(1, SEEDS_FOR_FIVE_REPLICAS);
  }

  @ParameterizedTest
  @MethodSource("seeds")
  void equalsASingleList(long seed) {
    assertThat(new SeededCluster(Variant.CORRECT, seed, 3).run()).isEqualTo(Optional.empty());
  }

  @ParameterizedTest
  @MethodSource("seedsForFiveReplicas")
  void equalsASingleListWithFiveReplicas(long seed) {
    assertThat(new SeededCluster(Variant.CORRECT, seed, 5).run()).isEqualTo(Optional.empty());
  }

  @ParameterizedTest
  @EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "CORRECT")
  void detectsEachFaultyVariant(Variant faulty) {
    long detected =
        LongStream.rangeClosed(1, SEEDS_FOR_FAULTY_VARIANTS)
            .filter(seed -> violatesTheList(faulty, seed))
            .limit(1)
            .count();
    assertWithMessage("seeds that detect %s", faulty).that(detected).isEqualTo(1);
  }

  private static boolean violatesTheList(Variant faulty, long seed) {
    return new SeededCluster(faulty, seed, 3)
        .run()
        .filter(violation -> !violation.startsWith(SeededCluster.NOT_SETTLED))
        .isPresent();
  }
}
