package org.verbenawheel.replication;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSortedSet;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.verbenawheel.identity.ProcessId;

/**
 * Three replicas with instant messages and syncs and a manual clock. Messages to a frozen replica
 * are held until the test delivers them; those from and to a cut-off replica are lost.
 */
final class ImmediateReplicas {
  static final Duration TICK = Duration.ofMillis(10);

  private final Map<ProcessId, Replica> replicas = new LinkedHashMap<>();
  private final Map<ProcessId, List<Effect>> effects = new HashMap<>();
  private final Map<ProcessId, Deque<Delivery>> heldForFrozen = new HashMap<>();
  private final Set<ProcessId> frozen = new HashSet<>();
  private final Set<ProcessId> cutOff = new HashSet<>();
  private final Set<ProcessId> muted = new HashSet<>();
  private final Set<ProcessId> separated = new HashSet<>();
  private final Deque<Delivery> messages = new ArrayDeque<>();
  private boolean syncsEnabled = true;
  private Instant now = Instant.parse("2026-01-01T00:00:00Z");

  ImmediateReplicas() {
    ImmutableSortedSet<ProcessId> voters =
        ImmutableSortedSet.of(
            new ProcessId("control-1"), new ProcessId("control-2"), new ProcessId("control-3"));
    for (ProcessId voter : voters) {
      Member self = new Member(voter, ReplicaId.random());
      Random random = new Random(voter.hashCode());
      replicas.put(
          voter,
          new Replica(
              self, rules(voters, true), SeededNode.TIMINGS, random, RecoveredState.EMPTY, now));
      effects.put(voter, new ArrayList<>());
      heldForFrozen.put(voter, new ArrayDeque<>());
    }
  }

  /** Starts a process with an empty disk that knows only the seed and may not found a cluster. */
  void join(ProcessId process, ProcessId seed) {
    join(process, ImmutableSortedSet.of(seed));
  }

  /** Starts a process with an empty disk that knows only the seeds. */
  void join(ProcessId process, ImmutableSortedSet<ProcessId> seeds) {
    Replica joining =
        new Replica(
            new Member(process, ReplicaId.random()),
            rules(seeds, false),
            SeededNode.TIMINGS,
            new Random(process.hashCode()),
            RecoveredState.EMPTY,
            now);
    replicas.put(process, joining);
    effects.put(process, new ArrayList<>());
    heldForFrozen.put(process, new ArrayDeque<>());
    cutOff.remove(process);
  }

  private static ClusterRules rules(ImmutableSortedSet<ProcessId> voters, boolean mayFound) {
    return new ClusterRules(voters, mayFound, 5, Duration.ofSeconds(2));
  }

  Instant now() {
    return now;
  }

  Replica replica(ProcessId process) {
    return Objects.requireNonNull(replicas.get(process));
  }

  /** Returns the effects of a replica so far, without messages. */
  List<Effect> effectsOf(ProcessId process) {
    return Objects.requireNonNull(effects.get(process));
  }

  ProcessId awaitLeader() {
    for (int tick = 0; tick < 1_000; tick++) {
      advance(TICK);
      Optional<ProcessId> leader = leader();
      if (leader.isPresent()) {
        return leader.get();
      }
    }
    throw new IllegalStateException("no leader");
  }

  /** Returns the process that holds a leader lease and is not frozen. */
  Optional<ProcessId> leader() {
    return replicas.keySet().stream()
        .filter(process -> !frozen.contains(process))
        .filter(process -> replica(process).status().mayDecide(now))
        .findFirst();
  }

  void advance(Duration duration) {
    Instant end = now.plus(duration);
    while (now.isBefore(end)) {
      now = now.plus(TICK);
      replicas.forEach(
          (process, replica) -> {
            if (!frozen.contains(process)) {
              run(process, replica.onTick(now));
            }
          });
      deliverAll();
    }
  }

  void freeze(ProcessId process) {
    frozen.add(process);
  }

  /** Resumes a replica; messages sent to it meanwhile are held until {@link #deliverHeld}. */
  void thaw(ProcessId process) {
    frozen.remove(process);
  }

  void deliverHeld(ProcessId process) {
    Deque<Delivery> deliveries = Objects.requireNonNull(heldForFrozen.get(process));
    messages.addAll(deliveries);
    deliveries.clear();
    deliverAll();
  }

  void cutOff(ProcessId process) {
    cutOff.add(process);
  }

  void reconnect(ProcessId process) {
    cutOff.remove(process);
  }

  /** Loses the messages that a replica sends, while it receives those of the others. */
  void mute(ProcessId process) {
    muted.add(process);
  }

  void unmute(ProcessId process) {
    muted.remove(process);
  }

  /** Loses the messages between these replicas and all others. */
  void separate(Set<ProcessId> processes) {
    separated.addAll(processes);
  }

  void reunite() {
    separated.clear();
  }

  /** Sets whether writes are synced; if not, no replica gets a sync confirmation. */
  void setSyncsEnabled(boolean value) {
    syncsEnabled = value;
  }

  Optional<ProposalOutcome.Position> propose(ProcessId process) {
    return propose(process, Payload.of(new byte[] {1}));
  }

  Optional<ProposalOutcome.Position> propose(ProcessId process, Payload command) {
    ProposalOutcome outcome = replica(process).propose(now, ImmutableList.of(command));
    run(process, outcome.effects());
    deliverAll();
    return outcome.position();
  }

  void read(ProcessId process, long token) {
    run(process, replica(process).readIndex(now, token));
    deliverAll();
  }

  void run(ProcessId process, ImmutableList<Effect> requested) {
    for (Effect effect : requested) {
      if (effect instanceof Effect.Send send) {
        messages.add(new Delivery(process, send.to(), send.message()));
        continue;
      }
      effectsOf(process).add(effect);
      if (effect instanceof Effect.Durable durable && syncsEnabled) {
        run(process, replica(process).onPersisted(now, durable.sequence()));
      }
    }
  }

  void deliverAll() {
    while (!messages.isEmpty()) {
      Delivery delivery = messages.remove();
      if (frozen.contains(delivery.to())) {
        Objects.requireNonNull(heldForFrozen.get(delivery.to())).add(delivery);
      } else if (!isLost(delivery)) {
        run(
            delivery.to(),
            replica(delivery.to()).onMessage(now, delivery.from(), delivery.message()));
      }
    }
  }

  private boolean isLost(Delivery delivery) {
    return cutOff.contains(delivery.from())
        || cutOff.contains(delivery.to())
        || muted.contains(delivery.from())
        || separated.contains(delivery.from()) != separated.contains(delivery.to());
  }

  private record Delivery(ProcessId from, ProcessId to, ReplicationMessage message) {}
}
