package org.verbenawheel.replication;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.verbenawheel.identity.ProcessId;

/** Tests how new processes, which may know only a follower, become voters. */
final class JoiningReplicaTest {
  private static final Duration SETTLE_TIME = Duration.ofSeconds(3);

  private final ImmediateReplicas replicas = new ImmediateReplicas();

  @Test
  void newcomerThatKnowsOnlyAFollowerBecomesAVoter() {
    ProcessId leader = replicas.awaitLeader();
    ProcessId newcomer = new ProcessId("control-4");

    replicas.join(newcomer, followerOf(leader));
    replicas.advance(SETTLE_TIME);

    assertThat(isVoter(leader, newcomer)).isTrue();
  }

  @Test
  void lostDiskIsReplacedWhenTheSettingsNameOnlyAFollower() {
    ProcessId leader = replicas.awaitLeader();
    ProcessId lost = followerOf(leader);
    ProcessId seed =
        replicas.replica(leader).status().members().orElseThrow().voters().stream()
            .map(Member::process)
            .filter(process -> !process.equals(leader) && !process.equals(lost))
            .findFirst()
            .orElseThrow();

    replicas.join(lost, seed);
    replicas.advance(SETTLE_TIME);

    assertThat(isVoter(leader, lost)).isTrue();
    assertThat(members(leader).voters()).hasSize(3);
    assertThat(members(leader).retired()).hasSize(1);
  }

  // Two hosts that lose their disks at once may know only each other and hosts that are gone.
  @Test
  void lostDisksAreReplacedThoughTheirSettingsNameOnlyEachOther() {
    ProcessId leader = replicas.awaitLeader();
    for (ProcessId newcomer : List.of(new ProcessId("control-4"), new ProcessId("control-5"))) {
      replicas.join(newcomer, leader);
      replicas.advance(SETTLE_TIME);
    }
    List<ProcessId> followers =
        members(leader).voters().stream()
            .map(Member::process)
            .filter(process -> !process.equals(leader))
            .toList();

    replicas.join(followers.get(0), followers.get(1));
    replicas.join(followers.get(1), followers.get(0));
    replicas.advance(SETTLE_TIME);

    assertThat(members(leader).voters()).hasSize(5);
    assertThat(members(leader).retired()).hasSize(2);
  }

  /**
   * Reads send heartbeats; membership changes must not wait for a heartbeat timer that reads reset.
   */
  @Test
  void readsDoNotDelayAReplacement() {
    ProcessId leader = replicas.awaitLeader();
    ProcessId lost = followerOf(leader);
    replicas.join(lost, leader);

    for (int tick = 0; tick < 300; tick++) {
      replicas.read(leader, tick);
      replicas.advance(ImmediateReplicas.TICK);
    }

    assertThat(isVoter(leader, lost)).isTrue();
    assertThat(members(leader).retired()).hasSize(1);
  }

  /** Two members that replied to each other's introductions would never stop. */
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

  /** A replica that was replaced and its successor do not count each other as members. */
  @Test
  void replicasThatDoNotKnowEachOtherDoNotAnswerForever() {
    ProcessId leader = replicas.awaitLeader();
    Member stranger = new Member(new ProcessId("control-9"), ReplicaId.random());

    var effects =
        replicas
            .replica(leader)
            .onMessage(
                replicas.now(),
                stranger.process(),
                new ReplicationMessage.Introduction(
                    stranger.process(),
                    stranger.replica(),
                    Optional.of(members(leader).cluster())));

    assertThat(effects.stream().filter(JoiningReplicaTest::isIntroduction).toList()).isEmpty();
  }

  private static boolean isIntroduction(Effect effect) {
    return effect instanceof Effect.Send send
        && send.message() instanceof ReplicationMessage.Introduction;
  }

  @Test
  void sixthReplicaStaysALearnerUntilAVoterIsUnresponsive() {
    ProcessId leader = replicas.awaitLeader();
    replicas.join(new ProcessId("control-4"), leader);
    replicas.advance(SETTLE_TIME);
    replicas.join(new ProcessId("control-5"), leader);
    replicas.advance(SETTLE_TIME);
    ProcessId sixth = new ProcessId("control-6");

    replicas.join(sixth, leader);
    replicas.advance(SETTLE_TIME);

    assertThat(isVoter(leader, sixth)).isFalse();
    ProcessId unresponsive = followerOf(leader);
    replicas.cutOff(unresponsive);
    replicas.advance(SETTLE_TIME);

    assertThat(isVoter(leader, sixth)).isTrue();
    assertThat(isVoter(leader, unresponsive)).isFalse();
    assertThat(members(leader).voters()).hasSize(5);
  }

  private ProcessId followerOf(ProcessId leader) {
    return members(leader).voters().stream()
        .map(Member::process)
        .filter(process -> !process.equals(leader))
        .findFirst()
        .orElseThrow();
  }

  private boolean isVoter(ProcessId leader, ProcessId process) {
    return members(leader).voterOf(process).isPresent();
  }

  private ClusterMembers members(ProcessId leader) {
    return replicas.replica(leader).status().members().orElseThrow();
  }
}
