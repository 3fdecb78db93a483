package org.verbenawheel.replication;

import com.google.common.collect.ImmutableList;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;
import org.verbenawheel.identity.ProcessId;
import org.verbenawheel.replication.ReplicationMessage.Addressed;
import org.verbenawheel.replication.ReplicationMessage.Append;
import org.verbenawheel.replication.ReplicationMessage.AppendReply;
import org.verbenawheel.replication.ReplicationMessage.Departure;
import org.verbenawheel.replication.ReplicationMessage.Founding;
import org.verbenawheel.replication.ReplicationMessage.Introduction;
import org.verbenawheel.replication.ReplicationMessage.Reintroduction;
import org.verbenawheel.replication.ReplicationMessage.SnapshotChunk;
import org.verbenawheel.replication.ReplicationMessage.SnapshotReply;
import org.verbenawheel.replication.ReplicationMessage.TakeOver;
import org.verbenawheel.replication.ReplicationMessage.VoteReply;
import org.verbenawheel.replication.ReplicationMessage.VoteRequest;

/**
 * The consensus protocol of one replica: elections, log replication, commits, linearizable reads,
 * snapshots and membership changes.
 *
 * <p>It does no I/O, reads no clock and owns no thread. Each method takes the current time and an
 * event, and returns effects that the caller must carry out in order. Not thread-safe. The protocol
 * follows Raft (Ongaro and Ousterhout, 2014) with pre-vote, check-quorum, a leader lease, and
 * replica identities that are stored with the data: a replica that loses its data gets a new one.
 */
public final class Replica {
  private final ReplicaCore core;
  private final Follower follower;
  private final Election election;
  private final Formation formation;
  private final ClusterRules rules;
  private @Nullable Leadership leadership;
  private RoleAndTerm lastReported;
  private boolean departed;

  /**
   * Creates a replica that continues from its state on disk.
   *
   * @param self its process and its identity
   * @param rules how the cluster is founded and changes its members
   * @param timings the timings that all replicas share
   * @param random draws election timeouts
   * @param recovered the state read from disk
   * @param now the current time
   */
  public Replica(
      Member self,
      ClusterRules rules,
      ReplicationTimings timings,
      RandomGenerator random,
      RecoveredState recovered,
      Instant now) {
    ReplicaLog log = new ReplicaLog(recovered.snapshot());
    recovered.entries().forEach(log::append);
    this.core = new ReplicaCore(self, timings, random, log, recovered.hardState(), now);
    this.follower = new Follower(core);
    this.election = new Election(core);
    this.rules = rules;
    this.formation = new Formation(core, rules, now);
    this.lastReported = new RoleAndTerm(core.role(), core.term(), core.leader());
  }

  /**
   * Handles timeouts: heartbeats, elections and the loss of a quorum. Must be called several times
   * per heartbeat interval.
   *
   * @param now the current time
   */
  public ImmutableList<Effect> onTick(Instant now) {
    stepDownWithoutQuorum(now);
    formation.onTick(now);
    if (leadership != null) {
      leadership.onTick(now);
    } else if (core.isVoter() && core.isElectionDue(now)) {
      election.startPreVote(now);
      advanceElectionIfWon(now);
    }
    return drainEffects();
  }

  /**
   * Handles a message from another replica. Messages for another identity or of another cluster are
   * ignored.
   *
   * @param now the current time
   * @param from the process that sent it
   * @param message the message
   */
  public ImmutableList<Effect> onMessage(Instant now, ProcessId from, ReplicationMessage message) {
    stepDownWithoutQuorum(now);
    if (message instanceof Addressed addressed) {
      onAddressed(now, new Member(from, addressed.header().from()), addressed);
    } else if (message instanceof Introduction introduction) {
      onIntroduction(now, from, introduction);
    } else if (message instanceof Reintroduction returning) {
      onReintroduction(now, from, returning);
    } else if (message instanceof Founding founding) {
      formation.onFounding(founding);
    }
    return drainEffects();
  }

  private void onIntroduction(Instant now, ProcessId from, Introduction introduction) {
    if (core.log().members().isEmpty()) {
      formation.onIntroduction(now, introduction);
      return;
    }
    boolean isOtherCluster =
        introduction
            .cluster()
            .filter(other -> !core.cluster().equals(Optional.of(other)))
            .isPresent();
    if (isOtherCluster) {
      return;
    }
    formation.answerIntroduction(introduction);
    admitOrForward(
        now, from, new Member(introduction.process(), introduction.replica()), introduction);
  }

  private void onReintroduction(Instant now, ProcessId from, Reintroduction returning) {
    boolean isMemberOfSameCluster =
        core.log()
            .members()
            .filter(members -> members.cluster().equals(returning.cluster()))
            .isPresent();
    if (isMemberOfSameCluster) {
      admitOrForward(now, from, new Member(returning.process(), returning.replica()), returning);
    }
  }

  private void admitOrForward(
      Instant now, ProcessId from, Member newcomer, ReplicationMessage message) {
    if (leadership != null) {
      leadership.onIntroduction(now, newcomer);
    } else if (from.equals(newcomer.process())) {
      // A newcomer knows only the processes in its settings, and a replica that was silent for long
      // only those of its time; the leader may not be among them. A message that was already
      // forwarded comes from another process and is dropped here.
      core.leader().ifPresent(leader -> core.send(leader.process(), message));
    }
  }

  private void onAddressed(Instant now, Member from, Addressed message) {
    boolean isForThisReplica = message.header().to().equals(core.self().replica());
    boolean isOtherCluster =
        core.cluster().filter(own -> !own.equals(message.header().cluster())).isPresent();
    if (!isForThisReplica || isOtherCluster) {
      formation.onMessageForOther(from.process());
      return;
    }
    if (message instanceof VoteRequest request) {
      onVoteRequest(now, from, request);
      return;
    }
    if (message instanceof VoteReply reply && reply.preVote() && reply.granted()) {
      // A granted pre-vote carries the proposed term, which this replica must not enter yet.
      election.onVoteReply(reply);
      advanceElectionIfWon(now);
      return;
    }
    if (message instanceof Departure) {
      // A leader hands over before it leaves, so its successor may be in the next term already.
      onDeparture(now, from);
      return;
    }
    core.bindToCluster(message.header().cluster());
    if (message.header().term() > core.term()) {
      becomeFollower(message.header().term(), Optional.empty());
    }
    onCurrentOrOlderTerm(now, from, message);
  }

  private void onDeparture(Instant now, Member from) {
    if (isMember(from)) {
      core.onDeparture(now, from.replica());
    }
  }

  private void onVoteRequest(Instant now, Member candidate, VoteRequest request) {
    boolean mayHaveLeader = leadership != null || core.mayHaveLeader(now);
    if (request.preVote()) {
      election.onPreVoteRequest(now, candidate, request, mayHaveLeader);
      return;
    }
    if (mayHaveLeader && !request.transfer()) {
      return;
    }
    core.bindToCluster(request.header().cluster());
    if (request.header().term() > core.term()) {
      becomeFollower(request.header().term(), Optional.empty());
      // A quorum granted the candidate's pre-vote, so it may win even without this replica's vote.
      core.postponeElection(now);
    }
    if (request.header().term() == core.term()) {
      election.onVoteRequest(now, candidate, request);
    }
  }

  private void onCurrentOrOlderTerm(Instant now, Member from, Addressed message) {
    if (message.header().term() < core.term()) {
      rejectStaleTerm(from, message);
    } else if (message instanceof Append append) {
      onLeaderMessage(now, from);
      follower.onAppend(from, append);
    } else if (message instanceof SnapshotChunk chunk) {
      onLeaderMessage(now, from);
      follower.onSnapshotChunk(from, chunk);
    } else if (isMember(from)) {
      onMemberMessage(now, from, message);
    }
  }

  /** Rejects an append of an older term, so that its sender sees the newer term and steps down. */
  private void rejectStaleTerm(Member from, Addressed message) {
    if (message instanceof Append append) {
      follower.rejectAppend(from, append);
    }
  }

  private boolean isMember(Member from) {
    return core.log().members().flatMap(members -> members.find(from.replica())).isPresent();
  }

  private void onMemberMessage(Instant now, Member from, Addressed message) {
    if (message instanceof VoteReply reply) {
      election.onVoteReply(reply);
      advanceElectionIfWon(now);
    } else if (message instanceof TakeOver && core.isVoter()) {
      election.startVote(now, true);
      advanceElectionIfWon(now);
    } else if (leadership != null && message instanceof AppendReply reply) {
      core.onReplyFrom(from.replica());
      leadership.onAppendReply(now, from, reply);
    } else if (leadership != null && message instanceof SnapshotReply reply) {
      leadership.onSnapshotReply(now, from, reply);
    }
  }

  private void onLeaderMessage(Instant now, Member from) {
    becomeFollower(core.term(), Optional.of(from));
    core.onLeaderContact(now);
  }

  private void becomeFollower(long term, Optional<Member> leader) {
    if (leadership != null) {
      leadership.end();
      leadership = null;
    }
    if (term > core.term()) {
      core.enterTerm(term);
    }
    core.changeRole(Role.FOLLOWER, leader);
  }

  private void advanceElectionIfWon(Instant now) {
    if (core.role() == Role.PRE_CANDIDATE && election.isWon()) {
      election.startVote(now, false);
    }
    if (core.role() == Role.CANDIDATE && election.isWon()) {
      core.changeRole(Role.LEADER, Optional.of(core.self()));
      leadership = new Leadership(core, rules, now);
      leadership.begin(now);
    }
  }

  private void stepDownWithoutQuorum(Instant now) {
    if (leadership != null && !leadership.hasQuorum(now)) {
      becomeFollower(core.term(), Optional.empty());
    }
  }

  /**
   * Appends commands to the log if this replica leads.
   *
   * @param now the current time
   * @param commands the encoded commands
   * @return the effects, and the position of the first command; without a position if this replica
   *     does not lead
   */
  public ProposalOutcome propose(Instant now, List<Payload> commands) {
    stepDownWithoutQuorum(now);
    if (leadership == null) {
      return new ProposalOutcome(Optional.empty(), drainEffects());
    }
    long index = leadership.propose(now, commands);
    return new ProposalOutcome(
        Optional.of(new ProposalOutcome.Position(index, core.term())), drainEffects());
  }

  /**
   * Starts a linearizable read. A later {@link Effect.AnswerReads} or {@link Effect.RefuseReads}
   * with the token ends it.
   *
   * @param now the current time
   * @param token identifies the read in the effect
   */
  public ImmutableList<Effect> readIndex(Instant now, long token) {
    stepDownWithoutQuorum(now);
    if (leadership == null) {
      core.addEffect(new Effect.RefuseReads(ImmutableList.of(token)));
    } else {
      leadership.startRead(now, token);
    }
    return drainEffects();
  }

  /**
   * Records that all {@link Effect.Durable} effects up to a sequence number are synced to disk.
   *
   * @param now the current time
   * @param sequence the {@link Effect.Durable#sequence} of the last synced effect
   */
  public ImmutableList<Effect> onPersisted(Instant now, long sequence) {
    core.durability().onSynced(sequence, core.effects());
    stepDownWithoutQuorum(now);
    election.onSynced(sequence);
    advanceElectionIfWon(now);
    if (leadership != null) {
      leadership.advanceCommit(now);
    }
    return drainEffects();
  }

  /**
   * Records that a snapshot of the state is on disk, and drops the entries that it covers.
   *
   * @param index the index of the last entry that the snapshot includes
   */
  public ImmutableList<Effect> onSnapshotWritten(long index) {
    if (index > core.log().base().index() && index <= core.log().lastIndex()) {
      core.log().compactThrough(index);
      core.addEffect(new Effect.CompactLog(index));
    }
    return drainEffects();
  }

  /**
   * Gives up leadership before this replica stops, and asks the other voter with the most entries
   * to hold an election at once. Does nothing if this replica does not lead.
   *
   * @param now the current time
   */
  public ImmutableList<Effect> transferLeadership(Instant now) {
    if (leadership == null) {
      return drainEffects();
    }
    Optional<Member> successor = leadership.successor();
    becomeFollower(core.term(), Optional.empty());
    core.postponeElection(now);
    successor.ifPresent(next -> core.send(next.process(), new TakeOver(core.headerTo(next))));
    return drainEffects();
  }

  /**
   * Gives up leadership as {@link #transferLeadership} does, and announces to the other members
   * that this replica leaves. Later calls have no effects, since a reply of this replica would mean
   * that it is back.
   *
   * @param now the current time
   */
  public ImmutableList<Effect> depart(Instant now) {
    if (core.log().members().isEmpty()) {
      return drainEffects();
    }
    ImmutableList<Effect> transferred = transferLeadership(now);
    for (Member member : core.otherMembers()) {
      core.send(member.process(), new Departure(core.headerTo(member)));
    }
    departed = true;
    return ImmutableList.<Effect>builder().addAll(transferred).addAll(core.drainEffects()).build();
  }

  /** Returns the snapshot point for the state after an entry; empty if it is not in memory. */
  public Optional<SnapshotPoint> snapshotPointAt(long index) {
    return core.log()
        .entryAt(index)
        .map(
            entry ->
                new SnapshotPoint(
                    index, entry.term(), entry.stateTime(), core.log().membersAt(index)));
  }

  /** Returns this replica's view of itself and its cluster. */
  public ReplicaStatus status() {
    Optional<Leadership> leading = Optional.ofNullable(leadership);
    return new ReplicaStatus(
        core.self().process(),
        core.self().replica(),
        core.role(),
        core.term(),
        core.leader().map(Member::process),
        leading.map(Leadership::leaseEnd),
        core.commitIndex(),
        core.durability().durableIndex(),
        core.log().lastIndex(),
        core.log().base().index(),
        core.log().bytes(),
        core.log().lastMembersIndex(),
        core.log().members(),
        leading.map(Leadership::respondingVoters));
  }

  private ImmutableList<Effect> drainEffects() {
    if (departed) {
      core.drainEffects();
      return ImmutableList.of();
    }
    RoleAndTerm current = new RoleAndTerm(core.role(), core.term(), core.leader());
    if (!current.equals(lastReported)) {
      lastReported = current;
      core.addEffect(new Effect.RoleChanged(status()));
    }
    return core.drainEffects();
  }

  private record RoleAndTerm(Role role, long term, Optional<Member> leader) {}
}
