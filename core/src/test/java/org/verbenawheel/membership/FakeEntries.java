package org.verbenawheel.membership;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Sets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import org.verbenawheel.identity.ProcessId;
import org.verbenawheel.peer.PeerMessage;

/**
 * Runs the membership of several entries on a fake clock. Their in-memory links can be cut, and can
 * delay, lose or repeat messages; entries can die, freeze and restart.
 */
final class FakeEntries {
  static final Duration STEP = Duration.ofMillis(10);

  private static final Instant START = Instant.parse("2026-12-04T08:00:00Z");
  private static final Comparator<Delivery> BY_ARRIVAL =
      Comparator.comparing(Delivery::arrivesAt).thenComparingLong(Delivery::number);

  final MembershipTimings timings = MembershipTimings.DEFAULT;
  private final Random random;
  private final EntryDecisions.Factory factory;
  private final Map<ProcessId, EntryDecisions> running = new TreeMap<>();
  private final Map<ProcessId, Instant> lastTick = new LinkedHashMap<>();
  private final Set<Link> cuts = new HashSet<>();
  private final Set<ProcessId> frozen = new HashSet<>();
  private final PriorityQueue<Delivery> deliveries = new PriorityQueue<>(BY_ARRIVAL);
  private final List<Delivery> heldWhileFrozen = new ArrayList<>();
  private final ImmutableSet<ProcessId> names;
  private Instant now = START;
  private long deliveryNumber;
  private long incarnations = 1;
  boolean queriesPeersOnStart = true;
  double lossRate;
  double repeatRate;
  int longestDelayMilliseconds = 1;

  FakeEntries(int count, long seed) {
    this(count, seed, ProductionDecisions::new);
  }

  FakeEntries(int count, long seed, EntryDecisions.Factory factory) {
    this.random = new Random(seed);
    this.factory = factory;
    ImmutableSet.Builder<ProcessId> all = ImmutableSet.builder();
    for (int number = 1; number <= count; number++) {
      all.add(entry(number));
    }
    this.names = all.build();
    names.forEach(this::start);
  }

  private record Link(ProcessId from, ProcessId to) {}

  private record Delivery(
      Instant arrivesAt, long number, ProcessId from, ProcessId to, PeerMessage message) {}

  static ProcessId entry(int number) {
    return new ProcessId("entry-" + number);
  }

  ImmutableSet<ProcessId> names() {
    return names;
  }

  Instant now() {
    return now;
  }

  boolean isRunning(ProcessId entry) {
    return running.containsKey(entry) && !frozen.contains(entry);
  }

  /** Starts an entry, or restarts it with empty state. */
  void start(ProcessId entry) {
    MembershipIdentity identity =
        new MembershipIdentity(
            entry,
            incarnations++,
            Sets.difference(names, ImmutableSet.of(entry)).immutableCopy(),
            ImmutableMap.of());
    EntryDecisions membership = factory.start(identity, timings, now);
    running.put(entry, membership);
    lastTick.put(entry, Instant.MIN);
    if (queriesPeersOnStart) {
      membership.queryPeers(now);
      sendMessages(entry);
    }
  }

  /** Kills an entry without notice to the others; messages that it has sent still arrive. */
  void kill(ProcessId entry) {
    running.remove(entry);
    frozen.remove(entry);
  }

  /**
   * Kills an entry without notice to the others; three in four of its messages in flight are lost.
   */
  void killLosingMessages(ProcessId entry) {
    kill(entry);
    deliveries.removeIf(delivery -> delivery.from().equals(entry) && random.nextInt(4) > 0);
  }

  void freeze(ProcessId entry) {
    frozen.add(entry);
  }

  /** Resumes an entry; it then receives the messages that arrived while it was frozen. */
  void thaw(ProcessId entry) {
    frozen.remove(entry);
    deliveries.addAll(heldWhileFrozen);
    heldWhileFrozen.clear();
  }

  /** Cuts both directions between two entries; messages in flight are lost. */
  void cut(ProcessId one, ProcessId other) {
    cuts.add(new Link(one, other));
    cuts.add(new Link(other, one));
  }

  void cutOff(ProcessId entry) {
    names.stream().filter(other -> !other.equals(entry)).forEach(other -> cut(entry, other));
  }

  void healAll() {
    cuts.clear();
  }

  MembershipView view(ProcessId entry) {
    return membership(entry).view(now);
  }

  /** Announces to an entry as over HTTP, with forwarding; empty if the entry is not running. */
  Optional<AnnounceReply> announce(ProcessId entry, EndpointAnnouncement announcement) {
    if (!isRunning(entry)) {
      return Optional.empty();
    }
    AnnounceDecision decision = membership(entry).announce(announcement, now);
    sendMessages(entry);
    if (decision instanceof AnnounceDecision.Answer answer) {
      return Optional.of(answer.reply());
    }
    ProcessId home = ((AnnounceDecision.Forward) decision).home();
    boolean reachable = isRunning(home) && !cuts.contains(new Link(entry, home));
    ProcessId decider = reachable ? home : entry;
    AnnounceReply reply = membership(decider).announceLocally(announcement, now);
    sendMessages(decider);
    return Optional.of(reply);
  }

  /** Notifies an entry of an endpoint's departure. */
  void leave(ProcessId entry, EndpointRecord endpoint) {
    membership(entry).leave(endpoint, now);
    sendMessages(entry);
  }

  void beginStop(ProcessId entry) {
    membership(entry).beginStop();
    sendMessages(entry);
  }

  /** Advances the clock by one step, delivers the messages that are due and runs due ticks. */
  void step() {
    now = now.plus(STEP);
    while (!deliveries.isEmpty() && !deliveries.element().arrivesAt().isAfter(now)) {
      deliver(deliveries.remove());
    }
    for (ProcessId entry : List.copyOf(running.keySet())) {
      if (isRunning(entry)
          && !now.isBefore(
              lastTick.getOrDefault(entry, Instant.MIN).plus(timings.tickInterval()))) {
        lastTick.put(entry, now);
        membership(entry).tick(now);
        sendMessages(entry);
      }
    }
  }

  private EntryDecisions membership(ProcessId entry) {
    return Optional.ofNullable(running.get(entry)).orElseThrow();
  }

  private void sendMessages(ProcessId from) {
    for (OutgoingMessage outgoing : membership(from).takeMessages()) {
      if (random.nextDouble() >= lossRate) {
        scheduleDelivery(from, outgoing);
      }
      if (random.nextDouble() < repeatRate) {
        scheduleDelivery(from, outgoing);
      }
    }
  }

  private void scheduleDelivery(ProcessId from, OutgoingMessage outgoing) {
    Instant arrivesAt = now.plusMillis(1 + random.nextInt(longestDelayMilliseconds));
    deliveries.add(
        new Delivery(arrivesAt, deliveryNumber++, from, outgoing.to(), outgoing.message()));
  }

  private void deliver(Delivery delivery) {
    if (frozen.contains(delivery.to())) {
      heldWhileFrozen.add(delivery);
      return;
    }
    if (cuts.contains(new Link(delivery.from(), delivery.to())) || !isRunning(delivery.to())) {
      return;
    }
    membership(delivery.to()).onMessage(delivery.from(), delivery.message(), now);
    sendMessages(delivery.to());
  }
}
