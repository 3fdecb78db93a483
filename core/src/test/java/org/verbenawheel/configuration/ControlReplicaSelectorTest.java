package org.verbenawheel.configuration;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.verbenawheel.identity.ProcessId;

final class ControlReplicaSelectorTest {
  private static final ProcessId A = new ProcessId("control-a");
  private static final ProcessId B = new ProcessId("control-b");
  private static final ProcessId C = new ProcessId("control-c");

  private final ControlReplicaSelector selector =
      new ControlReplicaSelector(ImmutableList.of(A, B, C));

  @Test
  void followsAHintToTheLeader() {
    selector.onFailure(A, Optional.of(C));
    assertThat(selector.target()).isEqualTo(C);
  }

  @Test
  void triesEveryReplicaAlthoughTwoNameEachOtherAsLeader() {
    Set<ProcessId> targets = new HashSet<>();
    for (int question = 0; question < 3; question++) {
      targets.add(selector.target());
      ProcessId wrongLeader = selector.target().equals(A) ? B : A;
      selector.onFailure(selector.target(), Optional.of(wrongLeader));
    }
    assertThat(targets).containsExactly(A, B, C);
  }

  @Test
  void staysWithTheOnlyReplica() {
    ControlReplicaSelector single = new ControlReplicaSelector(ImmutableList.of(A));
    single.onFailure(A, Optional.of(B));
    assertThat(single.target()).isEqualTo(A);
  }

  @Test
  void ignoresALateFailureOfAnotherReplica() {
    selector.onFailure(A, Optional.of(C));
    selector.onFailure(A, Optional.of(B));
    assertThat(selector.target()).isEqualTo(C);
  }
}
