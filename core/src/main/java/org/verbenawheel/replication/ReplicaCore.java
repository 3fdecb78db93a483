package org.verbenawheel.replication;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.verbenawheel.identity.ProcessId;
import org.verbenawheel.replication.ReplicationMessage.Header;

/** What all roles of a replica share: its term, its log, and the effects it has asked for. */
final class ReplicaCore {
  private final Member self;
  private final ReplicationTimings timings;
  private final RandomGenerator random;
  private final ReplicaLog log;
  private final Durability durability;
  private final List<Effect> effects = new ArrayList<>();
  private HardState hardState;
  private Role role = Role.FOLLOWER;
  private Optional<Member> leader = Optional.empty();
  private long commitIndex;
  private Instant lastLeaderContact;
  private Instant electionDeadline;

  ReplicaCore(
      Member self,
      ReplicationTimings timings,
      RandomGenerator random,
      ReplicaLog log,
      HardState hardState,
      Instant now) {
    this.self = self;
    this.timings = timings;
    this.random = random;
    this.log = log;
    this.hardState = hardState;
    this.durability = new Durability(log.lastIndex());
    this.commitIndex = log.base().index();
    this.lastLeaderContact = now;
    this.electionDeadline = now;
    postponeElection(now);
  }

  Member self() {
    return self;
  }

  ReplicationTimings timings() {
    return timings;
  }

  ReplicaLog log() {
    return log;
  }

  Durability durability() {
    return durability;
  }

  long term() {
    return hardState.term();
  }

  Optional<ReplicaId> vote() {
    return hardState.vote();
  }

  Role role() {
    return role;
  }

  Optional<Member> leader() {
    return leader;
  }

  long commitIndex() {
    return commitIndex;
  }

  /** Returns the members in force; only called on a replica that has any. */
  ClusterMembers members() {
    return log.members().orElseThrow();
  }

  /** Returns the members other than this replica. */
  ImmutableList<Member> others() {
    return members().all().stream()
        .filter(member -> !member.replica().equals(self.replica()))
        .collect(ImmutableList.toImmutableList());
  }

  /** Returns the voters other than this replica. */
  ImmutableList<Member> otherVoters() {
    return members().voters().stream()
        .filter(member -> !member.replica().equals(self.replica()))
        .collect(ImmutableList.toImmutableList());
  }

  boolean isVoter() {
    return log.members().isPresent() && members().isVoter(self.replica());
  }

  /** Takes a role in the present term. */
  void take(Role next, Optional<Member> nextLeader) {
    if (role == next && leader.equals(nextLeader)) {
      return;
    }
    role = next;
    leader = nextLeader;
  }

  /** Returns the cluster that this replica takes part in; empty before the first. */
  Optional<ClusterId> cluster() {
    return hardState.cluster();
  }

  /** Ties this replica to the cluster that it takes part in from now on. */
  void bindTo(ClusterId cluster) {
    changeHardState(new HardState(term(), vote(), Optional.of(cluster)));
  }

  /** Enters a new term, in which this replica has not voted. */
  void enterTerm(long term) {
    changeHardState(new HardState(term, Optional.empty(), cluster()));
  }

  /** Votes in a term. */
  void voteFor(long term, ReplicaId candidate) {
    changeHardState(new HardState(term, Optional.of(candidate), cluster()));
  }

  private void changeHardState(HardState next) {
    if (hardState.equals(next)) {
      return;
    }
    hardState = next;
    effects.add(new Effect.PersistHardState(durability.nextHardStateSequence(), next));
  }

  /** Notes a message of the present leader. */
  void heardFromLeader(Instant now) {
    lastLeaderContact = now;
    postponeElection(now);
  }

  /** Draws a new moment at which this replica asks for an election. */
  void postponeElection(Instant now) {
    long timeout = timings.electionTimeout().toNanos();
    electionDeadline = now.plusNanos(timeout + random.nextLong(timeout));
  }

  boolean electionIsDue(Instant now) {
    return !now.isBefore(electionDeadline);
  }

  /**
   * Returns whether a leader may still hold a lease that this replica answered for. A replica that
   * just started counts as having heard from one, since it cannot remember.
   */
  boolean mayBeLed(Instant now) {
    return Duration.between(lastLeaderContact, now).compareTo(timings.electionTimeout()) < 0;
  }

  /** Adds entries to the log and to the disk. */
  void append(List<LogEntry> entries) {
    for (LogEntry entry : entries) {
      log.append(entry);
    }
    effects.add(
        new Effect.PersistEntries(
            durability.nextEntriesSequence(log.lastIndex()), ImmutableList.copyOf(entries)));
  }

  /** Raises the commit index and applies what it frees. */
  void commitThrough(long index) {
    if (index <= commitIndex) {
      return;
    }
    effects.add(new Effect.Apply(log.between(commitIndex, index)));
    commitIndex = index;
  }

  /** Continues from a snapshot in place of all entries that it holds. */
  void commitSnapshot(SnapshotPoint point) {
    commitIndex = point.index();
  }

  Header headerTo(Member to) {
    return headerTo(to, term());
  }

  Header headerTo(Member to, long term) {
    return new Header(cluster().orElseThrow(), self.replica(), to.replica(), term);
  }

  Effect.Send sendTo(Member to, ReplicationMessage message) {
    return new Effect.Send(to.process(), message);
  }

  void send(ProcessId to, ReplicationMessage message) {
    add(new Effect.Send(to, message));
  }

  void add(Effect effect) {
    effects.add(effect);
  }

  List<Effect> effects() {
    return effects;
  }

  /** Returns the effects asked for since the last call. */
  ImmutableList<Effect> takeEffects() {
    ImmutableList<Effect> taken = ImmutableList.copyOf(effects);
    effects.clear();
    return taken;
  }
}
