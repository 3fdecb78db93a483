package org.verbenawheel.configuration;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.verbenawheel.identity.ProcessId;

final class ControlChoiceTest {
  private static final ProcessId A = new ProcessId("control-a");
  private static final ProcessId B = new ProcessId("control-b");
  private static final ProcessId C = new ProcessId("control-c");

  private final ControlChoice choice = new ControlChoice(ImmutableList.of(A, B, C));

  @Test
  void followsAHintToTheLeader() {
    choice.onFailure(A, Optional.of(C));
    assertThat(choice.target()).isEqualTo(C);
  }

  @Test
  void triesEveryReplicaAlthoughTwoNameOneAnother() {
    Set<ProcessId> asked = new HashSet<>();
    for (int question = 0; question < 3; question++) {
      asked.add(choice.target());
      ProcessId wrongLeader = choice.target().equals(A) ? B : A;
      choice.onFailure(choice.target(), Optional.of(wrongLeader));
    }
    assertThat(asked).containsExactly(A, B, C);
  }

  @Test
  void staysWithTheOnlyReplica() {
    ControlChoice single = new ControlChoice(ImmutableList.of(A));
    single.onFailure(A, Optional.of(B));
    assertThat(single.target()).isEqualTo(A);
  }

  @Test
  void ignoresALateFailureOfAnotherReplica() {
    choice.onFailure(A, Optional.of(C));
    choice.onFailure(A, Optional.of(B));
    assertThat(choice.target()).isEqualTo(C);
  }
}
