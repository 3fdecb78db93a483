package org.verbenawheel.replication;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.verbenawheel.identity.ProcessId;
import org.verbenawheel.replication.ReplicationMessage.Header;

/**
 * The protocol state that all roles of a replica share: term, vote, role, log, commit index, and
 * the effects not yet returned to the caller of {@link Replica}. Not thread-safe.
 */
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
  private Optional<Instant> lastGrantedVote = Optional.empty();
  private Instant electionDeadline;
  private final Map<ReplicaId, Instant> departures = new HashMap<>();

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

  /** Returns the members in force; must only be called once there are any. */
  ClusterMembers members() {
    return log.members().orElseThrow();
  }

  /** Records that a member announced that its process is being stopped. */
  void onDeparture(Instant now, ReplicaId replica) {
    departures.keySet().retainAll(members().all().stream().map(Member::replica).toList());
    departures.put(replica, now);
  }

  /** Records that a replica replied, so it is back if it had left. */
  void onReplyFrom(ReplicaId replica) {
    departures.remove(replica);
  }

  /** Returns whether a member announced after a moment that it leaves and has not replied since. */
  boolean hasDepartedAfter(Instant moment, ReplicaId replica) {
    Instant announcedAt = departures.get(replica);
    return announcedAt != null && announcedAt.isAfter(moment);
  }

  /** Returns the members other than this replica. */
  ImmutableList<Member> otherMembers() {
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

  /** Changes this replica's role and leader in the current term. */
  void changeRole(Role next, Optional<Member> nextLeader) {
    if (role == next && leader.equals(nextLeader)) {
      return;
    }
    role = next;
    leader = nextLeader;
  }

  /** Returns the cluster that this replica belongs to; empty if it has joined none yet. */
  Optional<ClusterId> cluster() {
    return hardState.cluster();
  }

  /** Records the cluster that this replica belongs to from now on. */
  void bindToCluster(ClusterId cluster) {
    changeHardState(new HardState(term(), vote(), Optional.of(cluster)));
  }

  /** Enters a new term without a vote. */
  void enterTerm(long term) {
    changeHardState(new HardState(term, Optional.empty(), cluster()));
  }

  /** Records a vote, and enters the term if it is new. */
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

  /** Records that a message of the current leader arrived, and postpones the next election. */
  void onLeaderContact(Instant now) {
    lastLeaderContact = now;
    postponeElection(now);
  }

  /** Draws a new election deadline, between one and two election timeouts from now. */
  void postponeElection(Instant now) {
    long timeout = timings.electionTimeout().toNanos();
    electionDeadline = now.plusNanos(timeout + random.nextLong(timeout));
  }

  boolean isElectionDue(Instant now) {
    return !now.isBefore(electionDeadline);
  }

  /**
   * Returns whether a leader may still hold a lease that a reply of this replica extended. The time
   * of the last reply is not stored, so a replica that just started assumes that it sent one.
   */
  boolean mayHaveLeader(Instant now) {
    return Duration.between(lastLeaderContact, now).compareTo(timings.electionTimeout()) < 0;
  }

  /** Records a vote for another replica, and postpones the next election. */
  void onVoteGranted(Instant now) {
    lastGrantedVote = Optional.of(now);
    postponeElection(now);
  }

  /**
   * Returns whether a replica that this one voted for may have won, though its first message as
   * leader has not arrived yet.
   */
  boolean mayHaveElectedLeader(Instant now) {
    return lastGrantedVote
        .filter(at -> Duration.between(at, now).compareTo(timings.electionTimeout()) < 0)
        .isPresent();
  }

  /** Appends entries to the log in memory, and adds the effect that writes them to disk. */
  void append(List<LogEntry> entries) {
    for (LogEntry entry : entries) {
      log.append(entry);
    }
    effects.add(
        new Effect.PersistEntries(
            durability.nextEntriesSequence(log.lastIndex()), ImmutableList.copyOf(entries)));
  }

  /** Raises the commit index and adds the effect that applies the newly committed entries. */
  void commitThrough(long index) {
    if (index <= commitIndex) {
      return;
    }
    effects.add(new Effect.Apply(log.entriesBetween(commitIndex, index)));
    commitIndex = index;
  }

  /** Sets the commit index to that of an installed snapshot. */
  void commitSnapshot(SnapshotPoint point) {
    commitIndex = point.index();
  }

  Header headerTo(Member to) {
    return headerTo(to, term());
  }

  Header headerTo(Member to, long term) {
    return new Header(cluster().orElseThrow(), self.replica(), to.replica(), term);
  }

  Effect.Send sendEffect(Member to, ReplicationMessage message) {
    return new Effect.Send(to.process(), message);
  }

  void send(ProcessId to, ReplicationMessage message) {
    addEffect(new Effect.Send(to, message));
  }

  void addEffect(Effect effect) {
    effects.add(effect);
  }

  List<Effect> effects() {
    return effects;
  }

  /** Returns the effects added since the last call, and clears them. */
  ImmutableList<Effect> drainEffects() {
    ImmutableList<Effect> drained = ImmutableList.copyOf(effects);
    effects.clear();
    return drained;
  }
}
