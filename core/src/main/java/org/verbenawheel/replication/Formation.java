package org.verbenawheel.replication;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.ImmutableSortedSet;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.verbenawheel.identity.ProcessId;
import org.verbenawheel.replication.ReplicationMessage.Founding;
import org.verbenawheel.replication.ReplicationMessage.Introduction;
import org.verbenawheel.replication.ReplicationMessage.Reintroduction;

/**
 * Founds a new cluster or joins the existing one.
 *
 * <p>An empty replica sends an {@link Introduction} to every initial voter until it becomes a
 * member. The first initial voter by name founds a cluster only after every initial voter has
 * reported within the election timeout that it is empty too. One voter that belongs to a cluster or
 * is unreachable prevents this, so a replica that lost its folder never founds a second cluster
 * next to a running one. A replica belongs to one cluster for as long as its data exists, so even
 * two founders that did not see each other could not count the same replica in two quorums.
 */
final class Formation {
  private static final long FOUNDING_INDEX = 1;
  private static final long FOUNDING_TERM = 1;

  /** Bounds what messages of strangers can make this replica keep; several times a cluster. */
  private static final int MAXIMUM_SENDERS = 32;

  private final ReplicaCore core;
  private final ImmutableSortedSet<ProcessId> initialVoters;
  private final boolean mayFoundCluster;
  private final Map<ProcessId, EmptyVoter> emptyVoters = new HashMap<>();
  private final Set<ProcessId> senders = new HashSet<>();
  private Instant nextIntroduction;
  private boolean reintroduced;

  Formation(ReplicaCore core, ClusterRules rules, Instant now) {
    this.core = core;
    this.initialVoters = rules.initialVoters();
    this.mayFoundCluster = rules.mayFoundCluster();
    this.nextIntroduction = now;
  }

  /**
   * Introduces this replica if it is empty or hears of no leader, and founds a cluster if all
   * initial voters are empty.
   */
  void onTick(Instant now) {
    if (now.isBefore(nextIntroduction)) {
      return;
    }
    if (core.log().members().isEmpty()) {
      nextIntroduction = now.plus(core.timings().heartbeat());
      sendToAll(
          ImmutableSet.<ProcessId>builder().addAll(initialVoters).addAll(senders).build(),
          new Introduction(core.self().process(), core.self().replica(), core.cluster()));
      foundIfAllAreEmpty(now);
    } else if (core.role() == Role.LEADER || core.mayHaveLeader(now)) {
      reintroduced = false;
    } else {
      nextIntroduction = now.plus(core.timings().electionTimeout());
      reintroduce();
    }
  }

  /**
   * Records the sender of a message for the identity that this process had before its disk was
   * lost. It may know the leader when no process in the settings does.
   */
  void onMessageForOther(ProcessId sender) {
    if (core.log().members().isEmpty() && senders.size() < MAXIMUM_SENDERS) {
      senders.add(sender);
    }
  }

  /**
   * Asks the leader, if there is one, to take this replica in again. A replica that was silent for
   * long may have been removed; then no leader sends to it, and its own log does not say why.
   */
  private void reintroduce() {
    ImmutableSet<ProcessId> known =
        ImmutableSet.<ProcessId>builder()
            .addAll(initialVoters)
            .addAll(core.members().all().stream().map(Member::process).iterator())
            .build();
    sendToAll(
        known,
        new Reintroduction(core.self().process(), core.self().replica(), core.members().cluster()));
    if (!reintroduced) {
      reintroduced = true;
      core.addEffect(new Effect.Reintroduced(core.members().membershipOf(core.self().replica())));
    }
  }

  private void sendToAll(Set<ProcessId> processes, ReplicationMessage message) {
    for (ProcessId process : processes) {
      if (!process.equals(core.self().process())) {
        core.send(process, message);
      }
    }
  }

  /** Records, on an empty replica, whether another replica is empty too. */
  void onIntroduction(Instant now, Introduction introduction) {
    if (introduction.cluster().isPresent()) {
      emptyVoters.remove(introduction.process());
      return;
    }
    emptyVoters.put(introduction.process(), new EmptyVoter(introduction.replica(), now));
  }

  private void foundIfAllAreEmpty(Instant now) {
    if (!mayFoundCluster
        || core.cluster().isPresent()
        || !initialVoters.first().equals(core.self().process())) {
      return;
    }
    emptyVoters.put(core.self().process(), new EmptyVoter(core.self().replica(), now));
    ImmutableList<Member> voters =
        initialVoters.stream()
            .map(voter -> emptyMember(voter, now))
            .flatMap(Optional::stream)
            .collect(ImmutableList.toImmutableList());
    if (voters.size() < initialVoters.size()) {
      return;
    }
    ClusterMembers members = ClusterMembers.founding(ClusterId.random(), voters);
    LogEntry founding =
        new LogEntry(
            FOUNDING_INDEX,
            FOUNDING_TERM,
            now,
            EntryType.MEMBERS,
            ReplicationMessages.encode(members));
    acceptFoundingEntry(founding);
  }

  private Optional<Member> emptyMember(ProcessId voter, Instant now) {
    return Optional.ofNullable(emptyVoters.get(voter))
        .filter(empty -> isFresh(empty, now))
        .map(empty -> new Member(voter, empty.replica()));
  }

  private boolean isFresh(EmptyVoter voter, Instant now) {
    return Duration.between(voter.introducedAt(), now).compareTo(core.timings().electionTimeout())
        < 0;
  }

  /** Adopts the first entry of a cluster that was founded with this replica, if it is empty. */
  void onFounding(Founding message) {
    ClusterId cluster = ReplicationMessages.membersOf(message.founding()).cluster();
    boolean isOtherCluster = core.cluster().filter(own -> !own.equals(cluster)).isPresent();
    boolean isForThisReplica = message.to().equals(core.self().replica()) && !isOtherCluster;
    if (isForThisReplica && core.log().lastIndex() == 0) {
      acceptFoundingEntry(message.founding());
    }
  }

  private void acceptFoundingEntry(LogEntry founding) {
    core.bindToCluster(ReplicationMessages.membersOf(founding).cluster());
    if (core.term() < FOUNDING_TERM) {
      core.enterTerm(FOUNDING_TERM);
    }
    core.append(ImmutableList.of(founding));
  }

  /** Replies to an empty replica that it is a founding member, or that a cluster exists. */
  void answerIntroduction(Introduction introduction) {
    Optional<LogEntry> founding = core.log().entryAt(FOUNDING_INDEX);
    boolean isFounder =
        founding.isPresent()
            && ReplicationMessages.membersOf(founding.get()).isVoter(introduction.replica());
    if (isFounder) {
      core.send(introduction.process(), new Founding(introduction.replica(), founding.get()));
      return;
    }
    if (introduction.cluster().isPresent()) {
      // It knows that a cluster exists. Two replicas that do not count each other as members would
      // otherwise reply to each other's introductions forever.
      return;
    }
    core.send(
        introduction.process(),
        new Introduction(
            core.self().process(), core.self().replica(), Optional.of(core.members().cluster())));
  }

  private record EmptyVoter(ReplicaId replica, Instant introducedAt) {}
}
