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
import org.verbenawheel.replication.ReplicationMessage.Founding;
import org.verbenawheel.replication.ReplicationMessage.Introduction;
import org.verbenawheel.replication.ReplicationMessage.SnapshotChunk;
import org.verbenawheel.replication.ReplicationMessage.SnapshotReply;
import org.verbenawheel.replication.ReplicationMessage.TakeOver;
import org.verbenawheel.replication.ReplicationMessage.VoteReply;
import org.verbenawheel.replication.ReplicationMessage.VoteRequest;

/**
 * Decides for one replica of a replicated log: elections, appends, commits, reads, snapshots and
 * changes of members.
 *
 * <p>It does no I/O, reads no clock and owns no thread. Each method takes the present moment and an
 * event, and returns effects for the caller to carry out in order. Not thread-safe. The protocol
 * follows Raft (Ongaro and Ousterhout, 2014) with pre-vote, check-quorum, a leader lease and
 * identities that belong to a replica's data.
 */
public final class Replica {
  private final ReplicaCore core;
  private final Follower follower;
  private final Election election;
  private final Formation formation;
  private final ClusterRules rules;
  private @Nullable Leadership leadership;
  private Standing reported;

  /**
   * Makes a replica from what it left on disk.
   *
   * @param self its process and its identity
   * @param rules how the cluster is founded and changes
   * @param timings the times that the cluster agrees on
   * @param random draws election timeouts
   * @param recovered what was on disk
   * @param now the present moment
   */
  public Replica(
      Member self,
      ClusterRules rules,
      ReplicationTimings timings,
      RandomGenerator random,
      RecoveredLog recovered,
      Instant now) {
    ReplicaLog log = new ReplicaLog(recovered.snapshot());
    recovered.entries().forEach(log::append);
    this.core = new ReplicaCore(self, timings, random, log, recovered.hardState(), now);
    this.follower = new Follower(core);
    this.election = new Election(core);
    this.rules = rules;
    this.formation = new Formation(core, rules, now);
    this.reported = new Standing(core.role(), core.term(), core.leader());
  }

  /**
   * Lets time pass. To be called several times within a heartbeat.
   *
   * @param now the present moment
   */
  public ImmutableList<Effect> onTick(Instant now) {
    stepDownWithoutQuorum(now);
    formation.onTick(now);
    if (leadership != null) {
      leadership.onTick(now);
    } else if (core.isVoter() && core.electionIsDue(now)) {
      election.startPreVote(now);
      winIfGranted(now);
    }
    return effects();
  }

  /**
   * Takes a message.
   *
   * @param now the present moment
   * @param from the process that sent it
   * @param message the message
   */
  public ImmutableList<Effect> onMessage(Instant now, ProcessId from, ReplicationMessage message) {
    stepDownWithoutQuorum(now);
    if (message instanceof Addressed addressed) {
      onAddressed(now, new Member(from, addressed.header().from()), addressed);
    } else if (message instanceof Introduction introduction) {
      onIntroduction(now, from, introduction);
    } else if (message instanceof Founding founding) {
      formation.onFounding(founding);
    }
    return effects();
  }

  private void onIntroduction(Instant now, ProcessId from, Introduction introduction) {
    if (core.log().members().isEmpty()) {
      formation.onIntroduction(now, introduction);
      return;
    }
    boolean ofOtherCluster =
        introduction
            .cluster()
            .filter(other -> !core.cluster().equals(Optional.of(other)))
            .isPresent();
    if (ofOtherCluster) {
      return;
    }
    formation.answer(introduction);
    if (leadership != null) {
      leadership.onIntroduction(now, new Member(introduction.process(), introduction.replica()));
    } else if (from.equals(introduction.process())) {
      // A newcomer knows the processes of its settings only, and the leader may be another one.
      core.leader().ifPresent(leader -> core.send(leader.process(), introduction));
    }
  }

  private void onAddressed(Instant now, Member from, Addressed message) {
    boolean forThisReplica = message.header().to().equals(core.self().replica());
    boolean ofOtherCluster =
        core.cluster().filter(own -> !own.equals(message.header().cluster())).isPresent();
    if (!forThisReplica || ofOtherCluster) {
      return;
    }
    if (message instanceof VoteRequest request) {
      onVoteRequest(now, from, request);
      return;
    }
    if (message instanceof VoteReply reply && reply.preVote() && reply.granted()) {
      election.onReply(reply);
      winIfGranted(now);
      return;
    }
    core.bindTo(message.header().cluster());
    if (message.header().term() > core.term()) {
      follow(message.header().term(), Optional.empty());
    }
    onMessageOfKnownTerm(now, from, message);
  }

  private void onVoteRequest(Instant now, Member candidate, VoteRequest request) {
    boolean mayBeLed = leadership != null || core.mayBeLed(now);
    if (request.preVote()) {
      election.onPreVote(candidate, request, mayBeLed);
      return;
    }
    if (mayBeLed && !request.transfer()) {
      return;
    }
    core.bindTo(request.header().cluster());
    if (request.header().term() > core.term()) {
      follow(request.header().term(), Optional.empty());
    }
    if (request.header().term() == core.term()) {
      election.onVote(now, candidate, request);
    }
  }

  private void onMessageOfKnownTerm(Instant now, Member from, Addressed message) {
    if (message.header().term() < core.term()) {
      refuse(from, message);
    } else if (message instanceof Append append) {
      hearLeader(now, from);
      follower.onAppend(from, append);
    } else if (message instanceof SnapshotChunk chunk) {
      hearLeader(now, from);
      follower.onSnapshotChunk(from, chunk);
    } else if (isMember(from)) {
      onMessageOfMember(now, from, message);
    }
  }

  /** Tells the leader of an older term that there is a newer one. */
  private void refuse(Member from, Addressed message) {
    if (message instanceof Append append) {
      follower.refuse(from, append);
    }
  }

  private boolean isMember(Member from) {
    return core.log().members().flatMap(members -> members.find(from.replica())).isPresent();
  }

  private void onMessageOfMember(Instant now, Member from, Addressed message) {
    if (message instanceof VoteReply reply) {
      election.onReply(reply);
      winIfGranted(now);
    } else if (message instanceof TakeOver && core.isVoter()) {
      election.startVote(now, true);
      winIfGranted(now);
    } else if (leadership != null && message instanceof AppendReply reply) {
      leadership.onAppendReply(now, from, reply);
    } else if (leadership != null && message instanceof SnapshotReply reply) {
      leadership.onSnapshotReply(now, from, reply);
    }
  }

  private void hearLeader(Instant now, Member from) {
    follow(core.term(), Optional.of(from));
    core.heardFromLeader(now);
  }

  private void follow(long term, Optional<Member> leader) {
    if (leadership != null) {
      leadership.end();
      leadership = null;
    }
    if (term > core.term()) {
      core.enterTerm(term);
    }
    core.take(Role.FOLLOWER, leader);
  }

  private void winIfGranted(Instant now) {
    if (core.role() == Role.PRE_CANDIDATE && election.isWon()) {
      election.startVote(now, false);
    }
    if (core.role() == Role.CANDIDATE && election.isWon()) {
      core.take(Role.LEADER, Optional.of(core.self()));
      leadership = new Leadership(core, rules, now);
      leadership.begin(now);
    }
  }

  private void stepDownWithoutQuorum(Instant now) {
    if (leadership != null && !leadership.hasQuorum(now)) {
      follow(core.term(), Optional.empty());
    }
  }

  /**
   * Appends commands if this replica leads.
   *
   * @param now the present moment
   * @param commands the encoded commands
   * @return the index of the first command and the term; without a position if it does not lead
   */
  public ProposalOutcome propose(Instant now, List<Payload> commands) {
    stepDownWithoutQuorum(now);
    if (leadership == null) {
      return new ProposalOutcome(Optional.empty(), effects());
    }
    long index = leadership.propose(now, commands);
    return new ProposalOutcome(
        Optional.of(new ProposalOutcome.Position(index, core.term())), effects());
  }

  /**
   * Starts a linearizable read, which {@link Effect.AnswerReads} or {@link Effect.RefuseReads}
   * ends.
   *
   * @param now the present moment
   * @param token identifies the read in the effect
   */
  public ImmutableList<Effect> readIndex(Instant now, long token) {
    stepDownWithoutQuorum(now);
    if (leadership == null) {
      core.add(new Effect.RefuseReads(ImmutableList.of(token)));
    } else {
      leadership.read(now, token);
    }
    return effects();
  }

  /**
   * Notes that effects on the disk were synced.
   *
   * @param now the present moment
   * @param sequence the last of them
   */
  public ImmutableList<Effect> onPersisted(Instant now, long sequence) {
    core.durability().onSynced(sequence, core.effects());
    stepDownWithoutQuorum(now);
    election.onSynced(sequence);
    winIfGranted(now);
    if (leadership != null) {
      leadership.advanceCommit(now);
    }
    return effects();
  }

  /**
   * Notes that a snapshot of the parts is on disk, and forgets the entries that it holds.
   *
   * @param index the last entry applied to the parts before the snapshot
   */
  public ImmutableList<Effect> onSnapshotWritten(long index) {
    if (index > core.log().base().index() && index <= core.log().lastIndex()) {
      core.log().compactThrough(index);
      core.add(new Effect.CompactLog(index));
    }
    return effects();
  }

  /**
   * Gives up leadership and asks the best replica to take over, before this one stops.
   *
   * @param now the present moment
   */
  public ImmutableList<Effect> transferLeadership(Instant now) {
    if (leadership == null) {
      return effects();
    }
    Optional<Member> successor = leadership.successor();
    follow(core.term(), Optional.empty());
    core.postponeElection(now);
    successor.ifPresent(next -> core.send(next.process(), new TakeOver(core.headerTo(next))));
    return effects();
  }

  /** Returns where a snapshot of the state after an entry stands, if the entry is in memory. */
  public Optional<SnapshotPoint> pointAt(long index) {
    return core.log()
        .entryAt(index)
        .map(
            entry ->
                new SnapshotPoint(
                    index, entry.term(), entry.stateTime(), core.log().membersAt(index)));
  }

  /** Returns what this replica knows of itself and its cluster. */
  public ReplicaStatus status() {
    Optional<Instant> leaseEnd = Optional.ofNullable(leadership).map(present -> present.leaseEnd());
    return new ReplicaStatus(
        core.self().process(),
        core.self().replica(),
        core.role(),
        core.term(),
        core.leader().map(Member::process),
        leaseEnd,
        core.commitIndex(),
        core.durability().durableIndex(),
        core.log().lastIndex(),
        core.log().base().index(),
        core.log().lastMembersIndex(),
        core.log().members());
  }

  private ImmutableList<Effect> effects() {
    Standing present = new Standing(core.role(), core.term(), core.leader());
    if (!present.equals(reported)) {
      reported = present;
      core.add(new Effect.RoleChanged(status()));
    }
    return core.takeEffects();
  }

  private record Standing(Role role, long term, Optional<Member> leader) {}
}
