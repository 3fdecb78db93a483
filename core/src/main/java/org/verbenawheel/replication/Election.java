package org.verbenawheel.replication;

import java.time.Instant;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.verbenawheel.replication.ReplicationMessage.Header;
import org.verbenawheel.replication.ReplicationMessage.VoteReply;
import org.verbenawheel.replication.ReplicationMessage.VoteRequest;

/**
 * Holds elections: a pre-vote first, so that a replica that was cut off does not disturb a leader
 * when it returns, then the vote.
 *
 * <p>A replica that may still be led gives no vote, which is what a leader's lease rests on.
 */
final class Election {
  private final ReplicaCore core;
  private final Set<ReplicaId> grants = new HashSet<>();
  private long ownVoteSequence;

  Election(ReplicaCore core) {
    this.core = core;
  }

  /** Asks the voters whether this replica could win. */
  void startPreVote(Instant now) {
    core.take(Role.PRE_CANDIDATE, Optional.empty());
    core.postponeElection(now);
    grants.clear();
    grants.add(core.self().replica());
    for (Member voter : core.otherVoters()) {
      core.add(core.sendTo(voter, voteRequest(voter, core.term() + 1, true, false)));
    }
  }

  /**
   * Asks for votes in a new term.
   *
   * @param transfer whether the leader asked for this
   */
  void startVote(Instant now, boolean transfer) {
    core.take(Role.CANDIDATE, Optional.empty());
    core.postponeElection(now);
    grants.clear();
    core.voteFor(core.term() + 1, core.self().replica());
    ownVoteSequence = core.durability().lastIssued();
    for (Member voter : core.otherVoters()) {
      Effect.Send request = core.sendTo(voter, voteRequest(voter, core.term(), false, transfer));
      core.durability().sendWhenHardStateSynced(request, core.effects());
    }
  }

  private VoteRequest voteRequest(Member voter, long term, boolean preVote, boolean transfer) {
    return new VoteRequest(
        core.headerTo(voter, term),
        core.log().lastIndex(),
        core.log().lastTerm(),
        preVote,
        transfer);
  }

  /** Counts this replica's own vote once it is synced. */
  void onSynced(long sequence) {
    if (core.role() == Role.CANDIDATE && sequence >= ownVoteSequence) {
      grants.add(core.self().replica());
    }
  }

  /** Returns whether a quorum granted what this replica asked for. */
  boolean isWon() {
    long granted =
        core.members().voters().stream().filter(voter -> grants.contains(voter.replica())).count();
    return granted >= core.members().quorum();
  }

  /** Answers a pre-vote. */
  void onPreVote(Member from, VoteRequest request, boolean mayBeLed) {
    boolean granted = request.header().term() > core.term() && !mayBeLed && isUpToDate(request);
    long term = granted ? request.header().term() : core.term();
    Header header =
        new Header(request.header().cluster(), core.self().replica(), from.replica(), term);
    Effect.Send reply = core.sendTo(from, new VoteReply(header, true, granted));
    core.durability().sendWhenHardStateSynced(reply, core.effects());
  }

  /** Answers a request for a vote in the present term. */
  void onVote(Instant now, Member from, VoteRequest request) {
    boolean free = core.vote().isEmpty() || core.vote().get().equals(request.header().from());
    boolean granted = free && isUpToDate(request);
    if (granted) {
      core.voteFor(core.term(), request.header().from());
      core.postponeElection(now);
    }
    Effect.Send reply = core.sendTo(from, new VoteReply(core.headerTo(from), false, granted));
    core.durability().sendWhenHardStateSynced(reply, core.effects());
  }

  private boolean isUpToDate(VoteRequest request) {
    long ownTerm = core.log().lastTerm();
    if (request.lastTerm() != ownTerm) {
      return request.lastTerm() > ownTerm;
    }
    return request.lastIndex() >= core.log().lastIndex();
  }

  /** Counts an answer. */
  void onReply(VoteReply reply) {
    boolean asked =
        reply.preVote()
            ? core.role() == Role.PRE_CANDIDATE && reply.header().term() == core.term() + 1
            : core.role() == Role.CANDIDATE && reply.header().term() == core.term();
    if (asked && reply.granted()) {
      grants.add(reply.header().from());
    }
  }
}
