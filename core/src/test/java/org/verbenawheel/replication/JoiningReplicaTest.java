package org.verbenawheel.replication;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.verbenawheel.identity.ProcessId;

/** Tests how processes that know only some others become voters. */
final class JoiningReplicaTest {
  private static final Duration SETTLED = Duration.ofSeconds(3);

  private final ImmediateReplicas replicas = new ImmediateReplicas();

  @Test
  void processThatKnowsOnlyAFollowerBecomesAVoter() {
    ProcessId leader = replicas.awaitLeader();
    ProcessId newcomer = new ProcessId("control-4");

    replicas.join(newcomer, followerOf(leader));
    replicas.advance(SETTLED);

    assertThat(votes(leader, newcomer)).isTrue();
  }

  @Test
  void lostDiskIsReplacedThoughTheSettingsNameOnlyAFollower() {
    ProcessId leader = replicas.awaitLeader();
    ProcessId lost = followerOf(leader);
    ProcessId seed =
        replicas.replica(leader).status().members().orElseThrow().voters().stream()
            .map(Member::process)
            .filter(process -> !process.equals(leader) && !process.equals(lost))
            .findFirst()
            .orElseThrow();

    replicas.join(lost, seed);
    replicas.advance(SETTLED);

    assertThat(votes(leader, lost)).isTrue();
    assertThat(members(leader).voters()).hasSize(3);
    assertThat(members(leader).retired()).hasSize(1);
  }

  @Test
  void readsDoNotHoldUpAReplacement() {
    ProcessId leader = replicas.awaitLeader();
    ProcessId lost = followerOf(leader);
    replicas.join(lost, leader);

    for (int tick = 0; tick < 300; tick++) {
      replicas.read(leader, tick);
      replicas.advance(ImmediateReplicas.TICK);
    }

    assertThat(votes(leader, lost)).isTrue();
    assertThat(members(leader).retired()).hasSize(1);
  }

  @Test
  void membersDoNotAnswerEachOthersIntroductions() {
    ProcessId leader = replicas.awaitLeader();
    Member follower = members(leader).voterOf(followerOf(leader)).orElseThrow();

    var effects =
        replicas
            .replica(leader)
            .onMessage(
                replicas.now(),
                follower.process(),
                new ReplicationMessage.Introduction(
                    follower.process(),
                    follower.replica(),
                    Optional.of(members(leader).cluster())));

    assertThat(effects.stream().filter(JoiningReplicaTest::isIntroduction).toList()).isEmpty();
  }

  private static boolean isIntroduction(Effect effect) {
    return effect instanceof Effect.Send send
        && send.message() instanceof ReplicationMessage.Introduction;
  }

  @Test
  void sixthReplicaWaitsUntilAVoterIsSilent() {
    ProcessId leader = replicas.awaitLeader();
    replicas.join(new ProcessId("control-4"), leader);
    replicas.advance(SETTLED);
    replicas.join(new ProcessId("control-5"), leader);
    replicas.advance(SETTLED);
    ProcessId sixth = new ProcessId("control-6");

    replicas.join(sixth, leader);
    replicas.advance(SETTLED);

    assertThat(votes(leader, sixth)).isFalse();
    ProcessId silent = followerOf(leader);
    replicas.cutOff(silent);
    replicas.advance(SETTLED);

    assertThat(votes(leader, sixth)).isTrue();
    assertThat(votes(leader, silent)).isFalse();
    assertThat(members(leader).voters()).hasSize(5);
  }

  private ProcessId followerOf(ProcessId leader) {
    return members(leader).voters().stream()
        .map(Member::process)
        .filter(process -> !process.equals(leader))
        .findFirst()
        .orElseThrow();
  }

  private boolean votes(ProcessId leader, ProcessId process) {
    return members(leader).voterOf(process).isPresent();
  }

  private ClusterMembers members(ProcessId leader) {
    return replicas.replica(leader).status().members().orElseThrow();
  }
}
