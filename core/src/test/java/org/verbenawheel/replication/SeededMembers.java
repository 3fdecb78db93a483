package org.verbenawheel.replication;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.ImmutableSortedSet;
import com.google.common.collect.Iterables;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import org.verbenawheel.identity.ProcessId;

/**
 * Five voters, of which a seed freezes, cuts off, replaces and wipes some, at most two at a time
 * and overlapping. After each calm span it compares the members with the hosts that live, and the
 * log with what was acknowledged.
 */
final class SeededMembers {
  private static final int WANTED_VOTERS = 5;
  private static final int SEED_HOSTS = 3;
  private static final int ROUNDS = 5;
  private static final Duration CALM = Duration.ofSeconds(8);
  private static final Duration WARM_UP = Duration.ofSeconds(2);
  private static final int LATEST_BEGIN_MILLISECONDS = 3_000;
  private static final int SHORTEST_MILLISECONDS = 300;
  private static final int LONGEST_MILLISECONDS = 6_000;

  private final Random random;
  private final ImmediateReplicas replicas = new ImmediateReplicas();
  private final Set<ProcessId> living = new LinkedHashSet<>();
  private final Set<String> acknowledged = new LinkedHashSet<>();
  private final PriorityQueue<Step> steps = new PriorityQueue<>();
  private final List<String> history = new ArrayList<>();
  private int started = 3;
  private int values;

  SeededMembers(long seed) {
    this.random = new Random(seed);
  }

  /** What happens to one host. */
  private enum Disturbance {
    FREEZE,
    CUT_OFF,
    MUTE,
    PLANNED_REPLACEMENT,
    UNPLANNED_REPLACEMENT,
    WIPE
  }

  /** Returns the first difference with the steps that led to it; empty if there is none. */
  Optional<String> run() {
    for (int number = 1; number <= 3; number++) {
      living.add(process(number));
    }
    replicas.awaitLeader();
    while (living.size() < WANTED_VOTERS) {
      startNewHost();
      replicas.advance(WARM_UP);
    }
    Optional<String> difference = calmDown();
    for (int round = 0; round < ROUNDS && difference.isEmpty(); round++) {
      disturb();
      difference = calmDown();
      if (difference.isEmpty() && random.nextInt(3) == 0) {
        loseTwoDisks();
        difference = calmDown();
      }
    }
    return difference.map(found -> found + " after " + String.join(", ", history));
  }

  private static ProcessId process(int number) {
    return new ProcessId("control-" + number);
  }

  private ProcessId startNewHost() {
    started++;
    ProcessId host = process(started);
    start(host);
    living.add(host);
    return host;
  }

  /** Starts a process with an empty disk that knows some hosts. */
  private void start(ProcessId host) {
    List<ProcessId> others = new ArrayList<>(living);
    others.remove(host);
    Collections.shuffle(others, random);
    replicas.join(host, ImmutableSortedSet.copyOf(Iterables.limit(others, SEED_HOSTS)));
  }

  private void disturb() {
    if (random.nextInt(6) == 0) {
      separateHalves();
      return;
    }
    List<ProcessId> hosts = new ArrayList<>(living);
    Collections.shuffle(hosts, random);
    for (ProcessId host : Iterables.limit(hosts, 2)) {
      Disturbance kind = Disturbance.values()[random.nextInt(Disturbance.values().length)];
      int begin = random.nextInt(LATEST_BEGIN_MILLISECONDS);
      int length = randomLength();
      history.add(kind + " " + host + " at " + begin + " for " + length + " ms");
      plan(kind, host, begin, begin + length);
    }
    runSteps();
  }

  private int randomLength() {
    return SHORTEST_MILLISECONDS + random.nextInt(LONGEST_MILLISECONDS);
  }

  private void plan(Disturbance kind, ProcessId host, int begin, int end) {
    switch (kind) {
      case FREEZE -> {
        at(begin, () -> replicas.freeze(host));
        at(end, () -> wake(host));
      }
      case CUT_OFF -> {
        at(begin, () -> replicas.cutOff(host));
        at(end, () -> replicas.reconnect(host));
      }
      case MUTE -> {
        at(begin, () -> replicas.mute(host));
        at(end, () -> replicas.unmute(host));
      }
      case PLANNED_REPLACEMENT -> {
        at(begin, this::startNewHost);
        at(end, () -> leave(host));
      }
      case UNPLANNED_REPLACEMENT -> {
        at(begin, () -> stopForGood(host));
        at(end, this::startNewHost);
      }
      case WIPE -> {
        at(begin, () -> replicas.cutOff(host));
        at(end, () -> start(host));
      }
    }
  }

  private void wake(ProcessId host) {
    replicas.thaw(host);
    replicas.deliverHeld(host);
  }

  private void leave(ProcessId host) {
    replicas.run(host, replicas.replica(host).depart(replicas.now()));
    replicas.deliverAll();
    stopForGood(host);
  }

  private void stopForGood(ProcessId host) {
    replicas.cutOff(host);
    living.remove(host);
  }

  private void at(int milliseconds, Runnable action) {
    steps.add(new Step(replicas.now().plusMillis(milliseconds), steps.size(), action));
  }

  private void runSteps() {
    while (!steps.isEmpty()) {
      Step next = steps.remove();
      while (replicas.now().isBefore(next.at())) {
        replicas.advance(ImmediateReplicas.TICK);
        addValue();
      }
      next.action().run();
    }
  }

  private void separateHalves() {
    List<ProcessId> hosts = new ArrayList<>(living);
    Collections.shuffle(hosts, random);
    ImmutableSet<ProcessId> half = ImmutableSet.copyOf(hosts.subList(0, hosts.size() / 2));
    int length = randomLength();
    history.add("separate " + half + " for " + length + " ms");
    replicas.separate(half);
    at(random.nextInt(length), this::startNewHost);
    at(length, replicas::reunite);
    runSteps();
    // The host that joined is one more than wanted; one that votes leaves for it.
    voters().stream().findAny().ifPresent(this::stopForGood);
  }

  private void loseTwoDisks() {
    List<ProcessId> hosts = new ArrayList<>(voters());
    Collections.shuffle(hosts, random);
    history.add("lose disks of " + hosts.subList(0, 2));
    hosts.subList(0, 2).forEach(this::start);
  }

  /** Adds a value at the leader now and then; those that it applies count as acknowledged. */
  private void addValue() {
    if (random.nextInt(20) > 0) {
      return;
    }
    Optional<ProcessId> leader = replicas.leader();
    if (leader.isPresent()) {
      values++;
      String value = "v" + values;
      replicas.propose(leader.get(), Payload.of(value.getBytes(UTF_8)));
      acknowledged.addAll(appliedAt(leader.get()));
    }
  }

  private Optional<String> calmDown() {
    Instant end = replicas.now().plus(CALM);
    while (replicas.now().isBefore(end)) {
      replicas.advance(ImmediateReplicas.TICK);
      addValue();
    }
    Optional<ProcessId> leader = replicas.leader();
    if (leader.isEmpty()) {
      return Optional.of("no leader");
    }
    return differingMembers(leader.get()).or(() -> differingLogs(leader.get()));
  }

  private Optional<String> differingMembers(ProcessId leader) {
    ReplicaStatus status = replicas.replica(leader).status();
    ClusterMembers members = status.members().orElseThrow();
    Set<ReplicaId> identities = new LinkedHashSet<>();
    for (ProcessId host : living) {
      ReplicaId identity = replicas.replica(host).status().replica();
      identities.add(identity);
      if (members.membershipOf(identity) == Membership.NONE) {
        return Optional.of(host + " lives and is neither voter nor learner");
      }
    }
    long liveVoters =
        members.voters().stream().filter(voter -> identities.contains(voter.replica())).count();
    int wanted = Math.min(living.size(), WANTED_VOTERS);
    if (liveVoters != wanted || members.voters().size() != wanted) {
      return Optional.of(
          liveVoters + " of " + members.voters().size() + " voters live, wanted are " + wanted);
    }
    return status.bearableLosses().equals(Optional.of((wanted - 1) / 2))
        ? Optional.empty()
        : Optional.of("the leader counts " + status.bearableLosses() + " bearable losses");
  }

  private Optional<String> differingLogs(ProcessId leader) {
    ImmutableList<String> log = appliedAt(leader);
    if (!log.containsAll(acknowledged)) {
      return Optional.of("acknowledged values are missing at " + leader);
    }
    for (ProcessId host : living) {
      ImmutableList<String> applied = appliedAt(host);
      if (applied.size() > log.size() || !log.subList(0, applied.size()).equals(applied)) {
        return Optional.of("the log of " + host + " differs from that of " + leader);
      }
    }
    return Optional.empty();
  }

  private ImmutableList<String> appliedAt(ProcessId host) {
    return replicas.effectsOf(host).stream()
        .filter(Effect.Apply.class::isInstance)
        .flatMap(effect -> ((Effect.Apply) effect).entries().stream())
        .filter(entry -> entry.type() == EntryType.COMMAND)
        .map(entry -> new String(entry.payload().bytes(), UTF_8))
        .collect(ImmutableList.toImmutableList());
  }

  private ImmutableList<ProcessId> voters() {
    return replicas
        .leader()
        .flatMap(leader -> replicas.replica(leader).status().members())
        .map(ClusterMembers::voters)
        .orElse(ImmutableList.of())
        .stream()
        .map(Member::process)
        .filter(living::contains)
        .collect(ImmutableList.toImmutableList());
  }

  private record Step(Instant at, int order, Runnable action) implements Comparable<Step> {
    @Override
    public int compareTo(Step other) {
      int byTime = at.compareTo(other.at);
      return byTime != 0 ? byTime : Integer.compare(order, other.order);
    }
  }
}
