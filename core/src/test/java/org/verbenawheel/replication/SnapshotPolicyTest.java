package org.verbenawheel.replication;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

final class SnapshotPolicyTest {
  private final SnapshotPolicy policy = new SnapshotPolicy(100, 1_000);

  @Test
  void isDueByEntriesAndByBytes() {
    assertThat(policy.isDue(99, 999, 0)).isFalse();
    assertThat(policy.isDue(100, 0, 0)).isTrue();
    assertThat(policy.isDue(1, 1_000, 0)).isTrue();
  }

  // A large state would otherwise be written again after each few commands.
  @Test
  void logReachesLengthOfLargeSnapshotBeforeNextOne() {
    assertThat(policy.isDue(1, 1_000, 20_000)).isFalse();
    assertThat(policy.isDue(1, 20_000, 20_000)).isTrue();
  }
}
