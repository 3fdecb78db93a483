package org.verbenawheel.replication;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSortedSet;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.verbenawheel.identity.ProcessId;
import org.verbenawheel.replication.ReplicationMessage.Founding;
import org.verbenawheel.replication.ReplicationMessage.Introduction;

/**
 * Founds a new cluster, or finds the one that exists.
 *
 * <p>An empty replica introduces itself to every initial voter until one of them makes it a member.
 * The first initial voter by name founds a cluster only once it has freshly heard from all of them
 * that they are empty too: a single one that holds a cluster, or that cannot be reached, prevents
 * it. So a lost folder never founds a second cluster beside one that lives. Each replica takes part
 * in one cluster in its life, so that even two founders who missed each other could not use the
 * same replica for two quorums.
 */
final class Formation {
  private static final long FOUNDING_INDEX = 1;
  private static final long FOUNDING_TERM = 1;

  private final ReplicaCore core;
  private final ImmutableSortedSet<ProcessId> initialVoters;
  private final boolean mayFound;
  private final Map<ProcessId, Heard> emptyVoters = new HashMap<>();
  private Instant nextIntroduction;

  Formation(ReplicaCore core, ClusterRules rules, Instant now) {
    this.core = core;
    this.initialVoters = rules.initialVoters();
    this.mayFound = rules.mayFound();
    this.nextIntroduction = now;
  }

  /** Introduces this replica, if it is empty, and founds a cluster if all initial voters are. */
  void onTick(Instant now) {
    if (core.log().members().isPresent() || now.isBefore(nextIntroduction)) {
      return;
    }
    nextIntroduction = now.plus(core.timings().heartbeat());
    Introduction introduction =
        new Introduction(core.self().process(), core.self().replica(), core.cluster());
    for (ProcessId voter : initialVoters) {
      if (!voter.equals(core.self().process())) {
        core.send(voter, introduction);
      }
    }
    foundIfAllAreEmpty(now);
  }

  /** Notes on an empty replica what another one says of itself. */
  void onIntroduction(Instant now, Introduction introduction) {
    if (introduction.cluster().isPresent()) {
      emptyVoters.remove(introduction.process());
      return;
    }
    emptyVoters.put(introduction.process(), new Heard(introduction.replica(), now));
  }

  private void foundIfAllAreEmpty(Instant now) {
    if (!mayFound
        || core.cluster().isPresent()
        || !initialVoters.first().equals(core.self().process())) {
      return;
    }
    emptyVoters.put(core.self().process(), new Heard(core.self().replica(), now));
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
    accept(founding);
  }

  private Optional<Member> emptyMember(ProcessId voter, Instant now) {
    return Optional.ofNullable(emptyVoters.get(voter))
        .filter(heard -> isFresh(heard, now))
        .map(heard -> new Member(voter, heard.replica()));
  }

  private boolean isFresh(Heard heard, Instant now) {
    return Duration.between(heard.at(), now).compareTo(core.timings().electionTimeout()) < 0;
  }

  /** Takes the first entry of a cluster that was founded with this replica, if it is empty. */
  void onFounding(Founding message) {
    ClusterId founded = ReplicationMessages.membersOf(message.founding()).cluster();
    boolean ofOtherCluster = core.cluster().filter(own -> !own.equals(founded)).isPresent();
    boolean forThisReplica = message.to().equals(core.self().replica()) && !ofOtherCluster;
    if (forThisReplica && core.log().lastIndex() == 0) {
      accept(message.founding());
    }
  }

  private void accept(LogEntry founding) {
    core.bindTo(ReplicationMessages.membersOf(founding).cluster());
    if (core.term() < FOUNDING_TERM) {
      core.enterTerm(FOUNDING_TERM);
    }
    core.append(ImmutableList.of(founding));
  }

  /** Tells an empty replica that it is a founding member, or that there is a cluster. */
  void answer(Introduction introduction) {
    Optional<LogEntry> founding = core.log().entryAt(FOUNDING_INDEX);
    boolean isFounder =
        founding.isPresent()
            && ReplicationMessages.membersOf(founding.get()).isVoter(introduction.replica());
    if (isFounder) {
      core.send(introduction.process(), new Founding(introduction.replica(), founding.get()));
      return;
    }
    if (core.members().find(introduction.replica()).isPresent()) {
      // A member needs no answer; two that answered each other would never end.
      return;
    }
    core.send(
        introduction.process(),
        new Introduction(
            core.self().process(), core.self().replica(), Optional.of(core.members().cluster())));
  }

  private record Heard(ReplicaId replica, Instant at) {}
}
