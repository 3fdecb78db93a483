package org.verbenawheel.replication;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.verbenawheel.identity.ProcessId;

final class ReplicaTest {
  private static final long TOKEN = 7;

  private final ImmediateReplicas replicas = new ImmediateReplicas();

  /** A process suspended longer than its lease must not act on its old term when it resumes. */
  @Test
  void leaderFrozenPastItsLeaseRefusesReadsAndProposalsOfItsOldTerm() {
    ProcessId old = replicas.awaitLeader();
    Instant leaseEnd = replicas.replica(old).status().leaseEnd().orElseThrow();
    replicas.freeze(old);
    ProcessId next = replicas.awaitLeader();
    assertThat(replicas.now()).isGreaterThan(leaseEnd);
    assertThat(replicas.propose(next)).isPresent();
    replicas.effectsOf(old).clear();
    replicas.thaw(old);
    assertThat(replicas.replica(old).status().mayDecide(replicas.now())).isFalse();
    replicas.read(old, TOKEN);
    assertThat(replicas.propose(old)).isEmpty();
    assertThat(effectTypes(old)).contains(Effect.RefuseReads.class);
    assertThat(effectTypes(old)).containsNoneOf(Effect.AnswerReads.class, Effect.Apply.class);
  }

  /** Messages held while a leader was suspended make it follow the new leader, not answer reads. */
  @Test
  void frozenLeaderAnswersNoReadsFromRepliesThatArrivedMeanwhile() {
    ProcessId old = replicas.awaitLeader();
    replicas.freeze(old);
    ProcessId next = replicas.awaitLeader();
    replicas.effectsOf(old).clear();
    replicas.thaw(old);
    replicas.deliverHeld(old);
    assertThat(replicas.replica(old).status().role()).isEqualTo(Role.FOLLOWER);
    assertThat(replicas.replica(old).status().leader()).isEqualTo(Optional.of(next));
    assertThat(effectTypes(old)).doesNotContain(Effect.AnswerReads.class);
  }

  @Test
  void partitionedLeaderLosesItsLeaseBeforeAnotherIsElected() {
    ProcessId old = replicas.awaitLeader();
    replicas.cutOff(old);
    while (replicas.replica(old).status().mayDecide(replicas.now())) {
      assertThat(otherLeaders(old)).isEqualTo(0);
      replicas.advance(ImmediateReplicas.TICK);
    }
    replicas.read(old, TOKEN);
    replicas.advance(SeededNode.TIMINGS.electionTimeout());
    assertThat(effectTypes(old)).contains(Effect.RefuseReads.class);
    assertThat(effectTypes(old)).doesNotContain(Effect.AnswerReads.class);
  }

  private long otherLeaders(ProcessId excluded) {
    return List.of("control-1", "control-2", "control-3").stream()
        .map(ProcessId::new)
        .filter(process -> !process.equals(excluded))
        .filter(process -> replicas.replica(process).status().role() == Role.LEADER)
        .count();
  }

  @Test
  void answersAReadAsSoonAsAQuorumReplies() {
    ProcessId leader = replicas.awaitLeader();
    replicas.effectsOf(leader).clear();
    replicas.read(leader, TOKEN);
    assertThat(effectTypes(leader)).containsExactly(Effect.AnswerReads.class);
  }

  @Test
  void reconnectedReplicaDoesNotDisturbTheLeader() {
    ProcessId leader = replicas.awaitLeader();
    long term = replicas.replica(leader).status().term();
    ProcessId other = otherThan(leader);
    replicas.cutOff(other);
    replicas.advance(Duration.ofSeconds(5));
    assertThat(replicas.replica(other).status().term()).isEqualTo(term);
    replicas.reconnect(other);
    replicas.advance(Duration.ofSeconds(1));
    assertThat(replicas.leader()).isEqualTo(Optional.of(leader));
    assertThat(replicas.replica(leader).status().term()).isEqualTo(term);
  }

  @Test
  void doesNotCommitUnsyncedEntries() {
    ProcessId leader = replicas.awaitLeader();
    long committed = replicas.replica(leader).status().commitIndex();
    replicas.setSyncsEnabled(false);
    assertThat(replicas.propose(leader)).isPresent();
    replicas.advance(SeededNode.TIMINGS.heartbeat());
    assertThat(replicas.replica(leader).status().commitIndex()).isEqualTo(committed);
  }

  @Test
  void transfersLeadershipWithoutElectionTimeout() {
    ProcessId leader = replicas.awaitLeader();
    replicas.run(leader, replicas.replica(leader).transferLeadership(replicas.now()));
    replicas.deliverAll();
    assertThat(replicas.leader().orElseThrow()).isNotEqualTo(leader);
    assertThat(replicas.replica(leader).status().mayDecide(replicas.now())).isFalse();
  }

  private ProcessId otherThan(ProcessId process) {
    return List.of("control-1", "control-2", "control-3").stream()
        .map(ProcessId::new)
        .filter(candidate -> !candidate.equals(process))
        .findFirst()
        .orElseThrow();
  }

  private List<Class<?>> effectTypes(ProcessId process) {
    return replicas.effectsOf(process).stream().<Class<?>>map(Effect::getClass).toList();
  }
}
