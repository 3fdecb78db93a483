package org.verbenawheel.replication;

import java.time.Instant;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.verbenawheel.replication.ReplicationMessage.Header;
import org.verbenawheel.replication.ReplicationMessage.VoteReply;
import org.verbenawheel.replication.ReplicationMessage.VoteRequest;

/**
 * Requests, grants and counts votes. A pre-vote precedes each vote, so that a replica that was
 * partitioned does not depose the leader when it reconnects.
 *
 * <p>A replica that may still have a leader grants no vote. The leader lease depends on this.
 */
final class Election {
  private final ReplicaCore core;
  private final Set<ReplicaId> grantedBy = new HashSet<>();
  private long ownVoteSequence;

  Election(ReplicaCore core) {
    this.core = core;
  }

  /** Asks the other voters whether they would vote for this replica in the next term. */
  void startPreVote(Instant now) {
    core.changeRole(Role.PRE_CANDIDATE, Optional.empty());
    core.postponeElection(now);
    grantedBy.clear();
    grantedBy.add(core.self().replica());
    for (Member voter : core.otherVoters()) {
      core.addEffect(core.sendEffect(voter, voteRequest(voter, core.term() + 1, true, false)));
    }
  }

  /**
   * Enters a new term, votes for this replica and requests the votes of the others.
   *
   * @param transfer whether the leader requested this election
   */
  void startVote(Instant now, boolean transfer) {
    core.changeRole(Role.CANDIDATE, Optional.empty());
    core.postponeElection(now);
    grantedBy.clear();
    core.voteFor(core.term() + 1, core.self().replica());
    ownVoteSequence = core.durability().lastIssuedSequence();
    for (Member voter : core.otherVoters()) {
      Effect.Send request =
          core.sendEffect(voter, voteRequest(voter, core.term(), false, transfer));
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

  /** Counts this replica's own vote once that vote is synced to disk. */
  void onSynced(long sequence) {
    if (core.role() == Role.CANDIDATE && sequence >= ownVoteSequence) {
      grantedBy.add(core.self().replica());
    }
  }

  /** Returns whether a quorum granted the current vote or pre-vote. */
  boolean isWon() {
    long grantCount =
        core.members().voters().stream()
            .filter(voter -> grantedBy.contains(voter.replica()))
            .count();
    return grantCount >= core.members().quorum();
  }

  /**
   * Grants a pre-vote to an up-to-date candidate, unless this replica may have a leader, has just
   * voted for one, or waits for votes itself. Of two replicas that ask each other, the one that
   * ranks lower gives up, so that replicas which start together do not split the vote.
   */
  void onPreVoteRequest(Instant now, Member from, VoteRequest request, boolean mayHaveLeader) {
    boolean rival = core.role() == Role.PRE_CANDIDATE;
    boolean granted =
        request.header().term() > core.term()
            && !mayHaveLeader
            && !core.mayHaveElectedLeader(now)
            && core.role() != Role.CANDIDATE
            && isUpToDate(request)
            && (!rival || outranks(request));
    if (granted) {
      core.postponeElection(now);
    }
    if (granted && rival) {
      core.changeRole(Role.FOLLOWER, Optional.empty());
    }
    long term = granted ? request.header().term() : core.term();
    Header header =
        new Header(request.header().cluster(), core.self().replica(), from.replica(), term);
    Effect.Send reply = core.sendEffect(from, new VoteReply(header, true, granted));
    core.durability().sendWhenHardStateSynced(reply, core.effects());
  }

  /** Grants a vote in the current term to an up-to-date candidate, at most one per term. */
  void onVoteRequest(Instant now, Member from, VoteRequest request) {
    boolean mayVoteForCandidate =
        core.vote().isEmpty() || core.vote().get().equals(request.header().from());
    boolean granted = mayVoteForCandidate && isUpToDate(request);
    if (granted) {
      core.voteFor(core.term(), request.header().from());
      core.onVoteGranted(now);
    }
    Effect.Send reply = core.sendEffect(from, new VoteReply(core.headerTo(from), false, granted));
    core.durability().sendWhenHardStateSynced(reply, core.effects());
  }

  private boolean isUpToDate(VoteRequest request) {
    long ownTerm = core.log().lastTerm();
    if (request.lastTerm() != ownTerm) {
      return request.lastTerm() > ownTerm;
    }
    return request.lastIndex() >= core.log().lastIndex();
  }

  /** Returns whether an up-to-date candidate has more entries, or as many and the higher id. */
  private boolean outranks(VoteRequest request) {
    boolean moreEntries =
        request.lastTerm() > core.log().lastTerm() || request.lastIndex() > core.log().lastIndex();
    return moreEntries
        || request.header().from().value().compareTo(core.self().replica().value()) > 0;
  }

  /** Counts a granted vote; ignores a reply to an earlier request. */
  void onVoteReply(VoteReply reply) {
    boolean isExpected =
        reply.preVote()
            ? core.role() == Role.PRE_CANDIDATE && reply.header().term() == core.term() + 1
            : core.role() == Role.CANDIDATE && reply.header().term() == core.term();
    if (isExpected && reply.granted()) {
      grantedBy.add(reply.header().from());
    }
  }
}
