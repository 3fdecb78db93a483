package org.verbenawheel.replication;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.Optional;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.verbenawheel.identity.ProcessId;

/** Tests what a cluster reports about its members. */
final class MemberChangeReportTest {
  private static final Duration SETTLE_TIME = Duration.ofSeconds(3);

  private final ImmediateReplicas replicas = new ImmediateReplicas();

  // Without the reason an operator cannot tell a replaced voter from a new one.
  @Test
  void leaderReportsTheReasonOfEachChange() {
    ProcessId leader = replicas.awaitLeader();
    ProcessId newcomer = new ProcessId("control-4");

    replicas.join(newcomer, leader);
    replicas.advance(SETTLE_TIME);

    assertThat(
            replicas.effectsOf(leader).stream()
                .flatMap(MemberChangeReportTest::changeIn)
                .map(MemberChange::reason)
                .toList())
        .containsExactly(MemberChange.Reason.INTRODUCED, MemberChange.Reason.CAUGHT_UP)
        .inOrder();
  }

  // A replica that is no longer a voter must be found from its own metrics.
  @Test
  void newcomerKnowsThatItVotes() {
    ProcessId leader = replicas.awaitLeader();
    ProcessId newcomer = new ProcessId("control-4");
    replicas.join(newcomer, leader);
    assertThat(replicas.replica(newcomer).status().membership()).isEqualTo(Membership.NONE);

    replicas.advance(SETTLE_TIME);

    assertThat(replicas.replica(newcomer).status().membership()).isEqualTo(Membership.VOTER);
  }

  // Operators ask how many voters may be lost before they stop one.
  @Test
  void leaderCountsTheLossesThatItCanBear() {
    ProcessId leader = replicas.awaitLeader();
    replicas.advance(SETTLE_TIME);
    assertThat(replicas.replica(leader).status().bearableLosses()).isEqualTo(Optional.of(1));

    ProcessId follower =
        replicas.replica(leader).status().members().orElseThrow().voters().stream()
            .map(Member::process)
            .filter(process -> !process.equals(leader))
            .findFirst()
            .orElseThrow();
    replicas.cutOff(follower);
    replicas.advance(SETTLE_TIME);

    assertThat(replicas.replica(leader).status().bearableLosses()).isEqualTo(Optional.of(0));
    assertThat(replicas.replica(follower).status().bearableLosses()).isEqualTo(Optional.empty());
  }

  private static Stream<MemberChange> changeIn(Effect effect) {
    return effect instanceof Effect.MemberChangeDecided decided
        ? Stream.of(decided.change())
        : Stream.empty();
  }
}
