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

  @Test
  void aLeaderThatWasFrozenPastItsLeaseDecidesNothingFromItsOldTerm() {
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
    assertThat(kinds(old)).contains(Effect.RefuseReads.class);
    assertThat(kinds(old)).containsNoneOf(Effect.AnswerReads.class, Effect.Apply.class);
  }

  @Test
  void aFrozenLeaderDecidesNothingOnAnswersThatWaitedForIt() {
    ProcessId old = replicas.awaitLeader();
    replicas.freeze(old);
    ProcessId next = replicas.awaitLeader();
    replicas.effectsOf(old).clear();
    replicas.thaw(old);
    replicas.deliverWaiting(old);
    assertThat(replicas.replica(old).status().role()).isEqualTo(Role.FOLLOWER);
    assertThat(replicas.replica(old).status().leader()).isEqualTo(Optional.of(next));
    assertThat(kinds(old)).doesNotContain(Effect.AnswerReads.class);
  }

  @Test
  void aLeaderCutOffSilentlyStopsDecidingBeforeAnotherIsElected() {
    ProcessId old = replicas.awaitLeader();
    replicas.cutOff(old);
    while (replicas.replica(old).status().mayDecide(replicas.now())) {
      assertThat(otherLeaders(old)).isEqualTo(0);
      replicas.advance(ImmediateReplicas.TICK);
    }
    replicas.read(old, TOKEN);
    replicas.advance(SeededNode.TIMINGS.electionTimeout());
    assertThat(kinds(old)).contains(Effect.RefuseReads.class);
    assertThat(kinds(old)).doesNotContain(Effect.AnswerReads.class);
  }

  private long otherLeaders(ProcessId excluded) {
    return List.of("control-1", "control-2", "control-3").stream()
        .map(ProcessId::new)
        .filter(process -> !process.equals(excluded))
        .filter(process -> replicas.replica(process).status().role() == Role.LEADER)
        .count();
  }

  @Test
  void answersAReadWithinTheLeaseAtOnce() {
    ProcessId leader = replicas.awaitLeader();
    replicas.effectsOf(leader).clear();
    replicas.read(leader, TOKEN);
    assertThat(kinds(leader)).containsExactly(Effect.AnswerReads.class);
  }

  @Test
  void aReplicaThatWasCutOffDoesNotDisturbTheLeaderWhenItReturns() {
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
  void commitsNothingThatIsNotSynced() {
    ProcessId leader = replicas.awaitLeader();
    long committed = replicas.replica(leader).status().commitIndex();
    replicas.setSyncs(false);
    assertThat(replicas.propose(leader)).isPresent();
    replicas.advance(SeededNode.TIMINGS.heartbeat());
    assertThat(replicas.replica(leader).status().commitIndex()).isEqualTo(committed);
  }

  @Test
  void handsLeadershipOnWithoutWaitingForATimeout() {
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

  private List<Class<?>> kinds(ProcessId process) {
    return replicas.effectsOf(process).stream().<Class<?>>map(Effect::getClass).toList();
  }
}
