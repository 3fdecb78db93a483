package org.verbenawheel.replication;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Function;
import org.verbenawheel.replication.ReplicationMessage.Append;
import org.verbenawheel.replication.ReplicationMessage.AppendReply;
import org.verbenawheel.replication.ReplicationMessage.SnapshotChunk;
import org.verbenawheel.replication.ReplicationMessage.SnapshotReply;

/**
 * Leads one term: appends and replicates entries, commits those that a quorum has on disk, answers
 * reads, changes members, and computes the end of the leader lease.
 */
final class Leadership {
  private static final int MAXIMUM_BATCH_BYTES = 256 * 1024;

  private final ReplicaCore core;
  private final ClusterRules rules;
  private final Instant electedAt;
  private final Map<ReplicaId, PeerProgress> progress = new HashMap<>();
  private final List<PendingRead> pendingReads = new ArrayList<>();
  private long termStartIndex;
  private long round;
  private long commitIndexAtCheck;
  private Instant nextHeartbeat;
  private Instant nextMemberCheck;
  private int respondingVoters = 1;

  Leadership(ReplicaCore core, ClusterRules rules, Instant now) {
    this.core = core;
    this.rules = rules;
    this.electedAt = now;
    this.nextHeartbeat = now;
    this.nextMemberCheck = now;
    trackMembers(now);
  }

  /** Appends the entry that commits the entries of earlier terms, and sends it to the others. */
  void begin(Instant now) {
    termStartIndex = core.log().lastIndex() + 1;
    append(now, EntryType.TERM_START, ImmutableList.of(Payload.EMPTY));
    sendHeartbeats(now);
  }

  /** Sends heartbeats when they are due, and makes the next membership change if one is due. */
  void onTick(Instant now) {
    if (!now.isBefore(nextHeartbeat)) {
      sendHeartbeats(now);
    }
    // Has its own timer: reads also send heartbeats and reset theirs, so a steady load of reads
    // would delay membership changes forever.
    if (!now.isBefore(nextMemberCheck)) {
      nextMemberCheck = now.plus(core.timings().heartbeat());
      checkMembers(now);
    }
  }

  private void checkMembers(Instant now) {
    respondingVoters = countRespondingVoters(now);
    if (mayChangeMembers()) {
      memberChanges(now)
          .next(
              learner -> isResponding(learner, now) && isCaughtUp(learner),
              member -> progressOf(member).silence(now))
          .ifPresent(change -> changeMembers(now, change));
    }
    commitIndexAtCheck = core.commitIndex();
  }

  /** Appends commands and sends them to the others. Returns the index of the first. */
  long propose(Instant now, List<Payload> commands) {
    long first = core.log().lastIndex() + 1;
    append(now, EntryType.COMMAND, commands);
    replicate(now);
    return first;
  }

  /** Adds a replica that is no member as a learner, if it may join. */
  void onIntroduction(Instant now, Member newcomer) {
    if (mayChangeMembers()) {
      memberChanges(now).admit(newcomer).ifPresent(change -> changeMembers(now, change));
    }
  }

  private MemberChanges memberChanges(Instant now) {
    // Only the leader hears that a replica is back, so an older announcement may be out of date;
    // by then the silence of a replica that left tells the same.
    Instant earliest = now.minus(rules.unresponsiveTimeout());
    return new MemberChanges(
        rules,
        core.members(),
        core.self(),
        member -> core.hasDepartedAfter(earliest, member.replica()));
  }

  private boolean mayChangeMembers() {
    return core.commitIndex() >= termStartIndex
        && core.log().lastMembersIndex() <= core.commitIndex();
  }

  /** Returns whether a replica has on disk all entries committed at the previous check. */
  private boolean isCaughtUp(Member member) {
    return progressOf(member).matchIndex() >= Math.max(commitIndexAtCheck, termStartIndex);
  }

  private boolean isResponding(Member member, Instant now) {
    return progressOf(member)
        .acknowledgedSentAt()
        .isAfter(now.minus(core.timings().electionTimeout()));
  }

  private void changeMembers(Instant now, MemberChange change) {
    core.addEffect(new Effect.MemberChangeDecided(change, respondingVoters));
    append(now, EntryType.MEMBERS, ImmutableList.of(ReplicationMessages.encode(change.members())));
    trackMembers(now);
    replicate(now);
  }

  /** Forgets the progress of removed members, and begins anew for those that were added. */
  private void trackMembers(Instant now) {
    ImmutableSet<ReplicaId> replicas =
        core.otherMembers().stream().map(Member::replica).collect(ImmutableSet.toImmutableSet());
    progress.keySet().retainAll(replicas);
    for (ReplicaId replica : replicas) {
      progress.computeIfAbsent(replica, added -> new PeerProgress(core.log().lastIndex() + 1, now));
    }
  }

  private void append(Instant now, EntryType type, List<Payload> payloads) {
    Instant lastTime = core.log().lastStateTime();
    Instant stateTime = now.isAfter(lastTime) ? now : lastTime;
    long index = core.log().lastIndex();
    ImmutableList.Builder<LogEntry> entries = ImmutableList.builder();
    for (Payload payload : payloads) {
      index++;
      entries.add(new LogEntry(index, core.term(), stateTime, type, payload));
    }
    core.append(entries.build());
  }

  private void sendHeartbeats(Instant now) {
    round++;
    nextHeartbeat = now.plus(core.timings().heartbeat());
    for (Member member : core.otherMembers()) {
      sendAppend(now, member, true);
    }
  }

  /** Sends the other members the entries that they lack. */
  void replicate(Instant now) {
    for (Member member : core.otherMembers()) {
      sendAppend(now, member, false);
    }
  }

  private void sendAppend(Instant now, Member member, boolean heartbeat) {
    PeerProgress peer = progressOf(member);
    SnapshotPoint base = core.log().base();
    if (peer.nextIndex() <= base.index()) {
      sendSnapshotChunk(now, member, peer);
      if (heartbeat) {
        send(now, member, base.index(), base.term(), ImmutableList.of());
      }
      return;
    }
    long previous = peer.nextIndex() - 1;
    ImmutableList<LogEntry> batch =
        peer.isBelowInFlightLimit() && previous < core.log().lastIndex()
            ? core.log().entriesFrom(peer.nextIndex(), MAXIMUM_BATCH_BYTES)
            : ImmutableList.of();
    if (batch.isEmpty() && !heartbeat) {
      return;
    }
    send(now, member, previous, core.log().termAt(previous).orElseThrow(), batch);
    peer.onSent(previous + batch.size());
  }

  private void send(
      Instant now, Member member, long previous, long previousTerm, ImmutableList<LogEntry> batch) {
    core.send(
        member.process(),
        new Append(
            core.headerTo(member),
            previous,
            previousTerm,
            core.commitIndex(),
            round,
            now,
            new EntryBatch(batch)));
  }

  private void sendSnapshotChunk(Instant now, Member member, PeerProgress peer) {
    SnapshotPoint base = core.log().base();
    long offset = peer.snapshotOffset(base.index());
    if (peer.isAwaitingSnapshotReply(now.minus(core.timings().electionTimeout()))) {
      return;
    }
    SnapshotChunk chunk =
        new SnapshotChunk(core.headerTo(member), base, offset, 0, Payload.EMPTY, now);
    core.addEffect(new Effect.SendSnapshotChunk(member.process(), chunk));
    peer.onSnapshotChunkSent(now);
  }

  /** Updates a member's progress from its reply, commits, and sends the next entries. */
  void onAppendReply(Instant now, Member from, AppendReply reply) {
    PeerProgress peer = progressOf(from);
    peer.onReply(reply.round(), reply.sentAt());
    if (reply.accepted()) {
      peer.onMatch(reply.matchIndex());
    } else {
      peer.onMismatch(reply.matchIndex());
    }
    advanceCommit(now);
    sendAppend(now, from, false);
  }

  /** Updates a member's progress from its reply, and sends the next chunk or entries. */
  void onSnapshotReply(Instant now, Member from, SnapshotReply reply) {
    PeerProgress peer = progressOf(from);
    peer.onReply(0, reply.sentAt());
    peer.onSnapshotReply(reply.index(), reply.nextOffset());
    if (reply.installed()) {
      peer.onMatch(reply.index());
    }
    sendAppend(now, from, false);
  }

  /** Commits entries that a quorum of the voters has on disk, then answers confirmed reads. */
  void advanceCommit(Instant now) {
    long durable = core.durability().durableIndex();
    long quorumIndex = quorumValue(PeerProgress::matchIndex, durable);
    boolean isOfCurrentTerm =
        core.log().termAt(quorumIndex).filter(this::isCurrentTerm).isPresent();
    if (isOfCurrentTerm) {
      core.commitThrough(quorumIndex);
    }
    answerConfirmedReads(now);
  }

  private boolean isCurrentTerm(long term) {
    return term == core.term();
  }

  /** Starts a read, answered once a quorum confirms that this replica still leads. */
  void startRead(Instant now, long token) {
    pendingReads.add(new PendingRead(token, round + 1));
    startReadRound(now);
    answerConfirmedReads(now);
  }

  /** Sends heartbeats for the pending reads, unless a round that serves one is in progress. */
  private void startReadRound(Instant now) {
    boolean inProgress = pendingReads.stream().anyMatch(read -> read.round() <= round);
    if (!pendingReads.isEmpty() && !inProgress) {
      sendHeartbeats(now);
    }
  }

  private void answerConfirmedReads(Instant now) {
    if (pendingReads.isEmpty() || core.commitIndex() < termStartIndex) {
      return;
    }
    // The lease is not enough: the clock of a suspended process may stop, so its lease would appear
    // valid after it resumes.
    long confirmed = quorumValue(PeerProgress::acknowledgedRound, round);
    ImmutableList<Long> answered =
        pendingReads.stream()
            .filter(read -> read.round() <= confirmed)
            .map(PendingRead::token)
            .collect(ImmutableList.toImmutableList());
    if (!answered.isEmpty()) {
      pendingReads.removeIf(read -> read.round() <= confirmed);
      core.addEffect(new Effect.AnswerReads(answered));
      startReadRound(now);
    }
  }

  /** Refuses the pending reads, because this replica no longer leads. */
  void end() {
    if (!pendingReads.isEmpty()) {
      core.addEffect(
          new Effect.RefuseReads(
              pendingReads.stream()
                  .map(PendingRead::token)
                  .collect(ImmutableList.toImmutableList())));
      pendingReads.clear();
    }
  }

  /** Returns the end of the leader lease: until then no other replica can be elected. */
  Instant leaseEnd() {
    return quorumAcknowledgedSentAt().plus(core.timings().lease());
  }

  /** Returns whether a quorum replied within the election timeout. */
  boolean hasQuorum(Instant now) {
    Instant acknowledged = quorumAcknowledgedSentAt();
    Instant since = acknowledged.isAfter(electedAt) ? acknowledged : electedAt;
    return Duration.between(since, now).compareTo(core.timings().electionTimeout()) < 0;
  }

  private int countRespondingVoters(Instant now) {
    long others = core.otherVoters().stream().filter(voter -> isResponding(voter, now)).count();
    return Math.toIntExact(others) + (core.isVoter() ? 1 : 0);
  }

  /**
   * Returns how many voters, this replica included, had replied within the election timeout at the
   * last check of the members.
   */
  int respondingVoters() {
    return respondingVoters;
  }

  private Instant quorumAcknowledgedSentAt() {
    return quorumValue(PeerProgress::acknowledgedSentAt, Instant.MAX.minus(core.timings().lease()));
  }

  /** Returns the other voter with the most entries, to which leadership is transferred. */
  Optional<Member> successor() {
    return core.otherVoters().stream()
        .max(Comparator.comparingLong(voter -> progressOf(voter).matchIndex()));
  }

  /** Returns the greatest value that a quorum of the voters reached. */
  private <T extends Comparable<T>> T quorumValue(Function<PeerProgress, T> value, T own) {
    List<T> values = new ArrayList<>();
    for (Member voter : core.otherVoters()) {
      values.add(value.apply(progressOf(voter)));
    }
    if (core.isVoter()) {
      values.add(own);
    }
    values.sort(Comparator.reverseOrder());
    return values.get(core.members().quorum() - 1);
  }

  private PeerProgress progressOf(Member member) {
    return Objects.requireNonNull(progress.get(member.replica()), "only members have progress");
  }

  private record PendingRead(long token, long round) {}
}
