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
 * Runs the decisions of several entries on a fake clock, with links in memory that can be cut, slow
 * or lossy, and entries that can die, freeze and restart.
 */
final class FakeEntries {
  static final Duration STEP = Duration.ofMillis(10);

  private static final Instant START = Instant.parse("2026-12-04T08:00:00Z");
  private static final Comparator<Parcel> BY_ARRIVAL =
      Comparator.comparing(Parcel::arrivesAt).thenComparingLong(Parcel::number);

  final MembershipTimings timings = MembershipTimings.DEFAULT;
  private final Random random;
  private final EntryDecisions.Factory factory;
  private final Map<ProcessId, EntryDecisions> running = new TreeMap<>();
  private final Map<ProcessId, Instant> lastTick = new LinkedHashMap<>();
  private final Set<Pair> cuts = new HashSet<>();
  private final Set<ProcessId> frozen = new HashSet<>();
  private final PriorityQueue<Parcel> parcels = new PriorityQueue<>(BY_ARRIVAL);
  private final List<Parcel> held = new ArrayList<>();
  private final ImmutableSet<ProcessId> names;
  private Instant now = START;
  private long parcelNumber;
  private long incarnations = 1;
  boolean asksOnArrival = true;
  double lossRate;
  double repeatRate;
  int longestDelayMilliseconds = 1;

  FakeEntries(int count, long seed) {
    this(count, seed, ChosenDecisions::new);
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

  private record Pair(ProcessId from, ProcessId to) {}

  private record Parcel(
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

  boolean runs(ProcessId entry) {
    return running.containsKey(entry) && !frozen.contains(entry);
  }

  /** Starts an entry, or starts it again with nothing remembered. */
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
    if (asksOnArrival) {
      membership.askOnArrival(now);
      post(entry);
    }
  }

  /** Ends an entry without a word; what it sent before is still on its way. */
  void kill(ProcessId entry) {
    running.remove(entry);
    frozen.remove(entry);
  }

  /** Ends an entry without a word and with it most of what it has not got rid of yet. */
  void killWithItsWords(ProcessId entry) {
    kill(entry);
    parcels.removeIf(parcel -> parcel.from().equals(entry) && random.nextInt(4) > 0);
  }

  void freeze(ProcessId entry) {
    frozen.add(entry);
  }

  /** Lets an entry go on; what came meanwhile waits in its connections. */
  void thaw(ProcessId entry) {
    frozen.remove(entry);
    parcels.addAll(held);
    held.clear();
  }

  /** Cuts both directions between two entries; what is under way is lost. */
  void cut(ProcessId one, ProcessId other) {
    cuts.add(new Pair(one, other));
    cuts.add(new Pair(other, one));
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

  /** Announces to an entry as over HTTP, with forwarding; empty if nobody answers. */
  Optional<AnnounceReply> announce(ProcessId entry, EndpointAnnouncement announcement) {
    if (!runs(entry)) {
      return Optional.empty();
    }
    AnnounceDecision decision = membership(entry).announce(announcement, now);
    post(entry);
    if (decision instanceof AnnounceDecision.Answer answer) {
      return Optional.of(answer.reply());
    }
    ProcessId home = ((AnnounceDecision.Forward) decision).home();
    boolean reached = runs(home) && !cuts.contains(new Pair(entry, home));
    ProcessId decider = reached ? home : entry;
    AnnounceReply reply = membership(decider).announceHere(announcement, now);
    post(decider);
    return Optional.of(reply);
  }

  /** Tells an entry that an endpoint leaves. */
  void leave(ProcessId entry, EndpointRecord endpoint) {
    membership(entry).leave(endpoint, now);
    post(entry);
  }

  void beginStop(ProcessId entry) {
    membership(entry).beginStop();
    post(entry);
  }

  /** Moves the time by one step: delivers, ticks. */
  void step() {
    now = now.plus(STEP);
    while (!parcels.isEmpty() && !parcels.element().arrivesAt().isAfter(now)) {
      deliver(parcels.remove());
    }
    for (ProcessId entry : List.copyOf(running.keySet())) {
      if (runs(entry)
          && !now.isBefore(lastTick.getOrDefault(entry, Instant.MIN).plus(timings.tick()))) {
        lastTick.put(entry, now);
        membership(entry).tick(now);
        post(entry);
      }
    }
  }

  private EntryDecisions membership(ProcessId entry) {
    return Optional.ofNullable(running.get(entry)).orElseThrow();
  }

  private void post(ProcessId from) {
    for (OutgoingMessage outgoing : membership(from).takeMessages()) {
      if (random.nextDouble() >= lossRate) {
        post(from, outgoing);
      }
      if (random.nextDouble() < repeatRate) {
        post(from, outgoing);
      }
    }
  }

  private void post(ProcessId from, OutgoingMessage outgoing) {
    Instant arrivesAt = now.plusMillis(1 + random.nextInt(longestDelayMilliseconds));
    parcels.add(new Parcel(arrivesAt, parcelNumber++, from, outgoing.to(), outgoing.message()));
  }

  private void deliver(Parcel parcel) {
    if (frozen.contains(parcel.to())) {
      held.add(parcel);
      return;
    }
    if (cuts.contains(new Pair(parcel.from(), parcel.to())) || !runs(parcel.to())) {
      return;
    }
    membership(parcel.to()).onMessage(parcel.from(), parcel.message(), now);
    post(parcel.to());
  }
}
