package org.verbenawheel.replication;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.verbenawheel.identity.ProcessId;

/** Tests what becomes of a voter that was replaced while nothing could be heard of it. */
final class ReplacedVoterTest {
  private static final Duration SETTLE_TIME = Duration.ofSeconds(3);
  private static final Duration SHORT_TIME = Duration.ofMillis(300);
  private static final ProcessId FOURTH = new ProcessId("control-4");
  private static final ProcessId FIFTH = new ProcessId("control-5");
  private static final ProcessId SIXTH = new ProcessId("control-6");

  private final ImmediateReplicas replicas = new ImmediateReplicas();
  private ProcessId leader = new ProcessId("none");

  @BeforeEach
  void formClusterOfFive() {
    leader = replicas.awaitLeader();
    for (ProcessId newcomer : ImmutableList.of(FOURTH, FIFTH)) {
      replicas.join(newcomer, leader);
      replicas.advance(SETTLE_TIME);
    }
    assertThat(members().voters()).hasSize(5);
  }

  // Two lost disks later such a cluster had no quorum for ever.
  @Test
  void voterThatFrozeWhileAnotherLeftVotesAgain() {
    ProcessId frozen = follower(0);
    ProcessId leaving = follower(1);
    replicas.freeze(frozen);
    replicas.join(SIXTH, leader);
    replicas.advance(SETTLE_TIME);
    assertThat(isVoter(frozen)).isFalse();

    replicas.cutOff(leaving);
    thaw(frozen);
    replicas.advance(SETTLE_TIME);

    assertThat(isVoter(frozen)).isTrue();
    assertThat(isVoter(SIXTH)).isTrue();
    assertThat(isVoter(leaving)).isFalse();
    assertThat(members().voters()).hasSize(5);
  }

  // Without a free place the woken replica must stand ready for the next one.
  @Test
  void voterThatFrozeIsALearnerWhileAllPlacesAreTaken() {
    ProcessId frozen = follower(0);
    replicas.freeze(frozen);
    replicas.join(SIXTH, leader);
    replicas.advance(SETTLE_TIME);

    thaw(frozen);
    replicas.advance(SETTLE_TIME);

    assertThat(isVoter(frozen)).isFalse();
    assertThat(members().learners().stream().map(Member::process)).containsExactly(frozen);
    assertThat(members().retired()).isEmpty();
  }

  // A replica that slept through its own removal must not depose the leader.
  @Test
  void voterThatSleptThroughItsRemovalDoesNotEndTheTerm() {
    ProcessId frozen = follower(0);
    replicas.freeze(frozen);
    replicas.join(SIXTH, leader);
    replicas.advance(SETTLE_TIME);
    long term = replicas.replica(leader).status().term();

    thaw(frozen);
    replicas.advance(SETTLE_TIME);

    assertThat(replicas.replica(leader).status().term()).isEqualTo(term);
  }

  @Test
  void leaderThatFrozeAndWasReplacedVotesAgain() {
    ProcessId frozen = leader;
    ProcessId seed = follower(0);
    replicas.freeze(frozen);
    leader = replicas.awaitLeader();
    replicas.join(SIXTH, seed);
    replicas.advance(SETTLE_TIME);
    assertThat(isVoter(frozen)).isFalse();
    ProcessId leaving = follower(0);
    replicas.cutOff(leaving);

    thaw(frozen);
    replicas.advance(SETTLE_TIME);

    assertThat(isVoter(frozen)).isTrue();
    assertThat(isVoter(leaving)).isFalse();
  }

  // The old identity of a wiped disk never counts again, whatever message of it is still under way.
  @Test
  void identityOfALostDiskDoesNotVoteAgain() {
    ProcessId lost = follower(0);
    Member old = members().voterOf(lost).orElseThrow();
    replicas.join(lost, leader);
    replicas.advance(SETTLE_TIME);
    assertThat(members().find(old.replica())).isEqualTo(Optional.empty());

    replicas.run(
        leader,
        replicas
            .replica(leader)
            .onMessage(
                replicas.now(),
                lost,
                new ReplicationMessage.Introduction(
                    lost, old.replica(), Optional.of(members().cluster()))));
    replicas.advance(SETTLE_TIME.multipliedBy(4));

    assertThat(members().find(old.replica())).isEqualTo(Optional.empty());
    assertThat(isVoter(lost)).isTrue();
    assertThat(members().voters()).hasSize(5);
  }

  // Until its place is taken, a voter that left counts as lost, and two more losses end the quorum.
  @Test
  void voterThatAnnouncesItsLeavingIsReplacedAtOnce() {
    replicas.join(SIXTH, leader);
    replicas.advance(SETTLE_TIME);
    ProcessId leaving = follower(0);

    leave(leaving);
    replicas.advance(SHORT_TIME);

    assertThat(isVoter(SIXTH)).isTrue();
    assertThat(isVoter(leaving)).isFalse();
  }

  @Test
  void voterThatLeavesGoesBeforeOneThatIsSilent() {
    ProcessId frozen = follower(0);
    ProcessId leaving = follower(1);
    replicas.freeze(frozen);
    replicas.advance(SHORT_TIME);
    replicas.join(SIXTH, leader);
    leave(leaving);
    replicas.advance(SETTLE_TIME);

    assertThat(isVoter(SIXTH)).isTrue();
    assertThat(isVoter(frozen)).isTrue();
    assertThat(isVoter(leaving)).isFalse();
  }

  @Test
  void leaderThatLeavesIsReplacedByItsSuccessor() {
    replicas.join(SIXTH, leader);
    replicas.advance(SETTLE_TIME);
    ProcessId leaving = leader;

    leave(leaving);
    leader = replicas.awaitLeader();
    replicas.advance(SHORT_TIME);

    assertThat(isVoter(SIXTH)).isTrue();
    assertThat(isVoter(leaving)).isFalse();
  }

  // A restart in place announces the leaving too; no newcomer may take the place afterwards.
  @Test
  void voterThatRepliesAfterItsLeavingKeepsItsPlace() {
    Member restarted = members().voterOf(follower(0)).orElseThrow();
    announceLeaving(restarted, leader);
    replicas.advance(SHORT_TIME);

    replicas.join(SIXTH, leader);
    replicas.advance(SETTLE_TIME);

    assertThat(isVoter(restarted.process())).isTrue();
    assertThat(isVoter(SIXTH)).isFalse();
  }

  // Only the leader hears replies, so a later leader may not know that a voter is back.
  @Test
  void laterLeaderForgetsALeavingOfLongAgo() {
    Member restarted = members().voterOf(follower(0)).orElseThrow();
    ProcessId successor = follower(1);
    announceLeaving(restarted, successor);
    replicas.advance(SETTLE_TIME);
    replicas.cutOff(leader);
    leader = replicas.awaitLeader();
    replicas.join(SIXTH, leader);
    replicas.advance(SHORT_TIME);

    assertThat(isVoter(restarted.process())).isTrue();
  }

  private void announceLeaving(Member member, ProcessId listener) {
    replicas.run(
        listener,
        replicas
            .replica(listener)
            .onMessage(
                replicas.now(),
                member.process(),
                new ReplicationMessage.Departure(
                    new ReplicationMessage.Header(
                        members().cluster(),
                        member.replica(),
                        replicas.replica(listener).status().replica(),
                        replicas.replica(listener).status().term()))));
  }

  private void leave(ProcessId process) {
    replicas.run(process, replicas.replica(process).depart(replicas.now()));
    replicas.deliverAll();
    replicas.cutOff(process);
  }

  private void thaw(ProcessId process) {
    replicas.thaw(process);
    replicas.deliverHeld(process);
  }

  private ProcessId follower(int position) {
    return members().voters().stream()
        .map(Member::process)
        .filter(process -> !process.equals(leader))
        .toList()
        .get(position);
  }

  private boolean isVoter(ProcessId process) {
    return members().voterOf(process).isPresent();
  }

  private ClusterMembers members() {
    return replicas.replica(leader).status().members().orElseThrow();
  }
}
