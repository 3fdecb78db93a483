package org.verbenawheel.replication;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import org.verbenawheel.replication.ReplicationMessage.Append;
import org.verbenawheel.replication.ReplicationMessage.AppendReply;
import org.verbenawheel.replication.ReplicationMessage.SnapshotChunk;
import org.verbenawheel.replication.ReplicationMessage.SnapshotReply;

/**
 * What a replica does while it leads one term: appends, counts what a quorum has on disk, and knows
 * until when it may decide.
 */
final class Leadership {
  private static final int MAXIMUM_BATCH_BYTES = 256 * 1024;

  private final ReplicaCore core;
  private final ClusterRules rules;
  private final Instant electedAt;
  private final Map<ReplicaId, PeerProgress> progress = new HashMap<>();
  private final List<PendingRead> reads = new ArrayList<>();
  private long termStartIndex;
  private long round;
  private long commitIndexAtCheck;
  private Instant nextHeartbeat;
  private Instant nextMemberCheck;

  Leadership(ReplicaCore core, ClusterRules rules, Instant now) {
    this.core = core;
    this.rules = rules;
    this.electedAt = now;
    this.nextHeartbeat = now;
    this.nextMemberCheck = now;
  }

  /** Appends the entry that commits those of earlier terms, and tells the others. */
  void begin(Instant now) {
    termStartIndex = core.log().lastIndex() + 1;
    append(now, EntryType.TERM_START, ImmutableList.of(Payload.EMPTY));
    sendHeartbeats(now);
  }

  /** Sends heartbeats when they are due, and changes one member if one is to be changed. */
  void onTick(Instant now) {
    if (!now.isBefore(nextHeartbeat)) {
      sendHeartbeats(now);
    }
    // Reads send heartbeats too, so these alone would put off changes of members for ever.
    if (!now.isBefore(nextMemberCheck)) {
      nextMemberCheck = now.plus(core.timings().heartbeat());
      checkMembers(now);
    }
  }

  private void checkMembers(Instant now) {
    if (mayChangeMembers()) {
      MemberChanges.next(
              core.members(),
              core.self(),
              this::isCaughtUp,
              voter -> isSilent(voter, now),
              rules.maximumVoters())
          .ifPresent(members -> changeMembers(now, members));
    }
    commitIndexAtCheck = core.commitIndex();
  }

  /** Appends commands and sends them on. Returns the index of the first. */
  long propose(Instant now, List<Payload> commands) {
    long first = core.log().lastIndex() + 1;
    append(now, EntryType.COMMAND, commands);
    replicate(now);
    return first;
  }

  /** Takes a replica that is in no cluster, if it has a place in this one. */
  void onIntroduction(Instant now, Member newcomer) {
    if (mayChangeMembers()) {
      MemberChanges.admit(core.members(), core.self(), newcomer)
          .ifPresent(members -> changeMembers(now, members));
    }
  }

  private boolean mayChangeMembers() {
    return core.commitIndex() >= termStartIndex
        && core.log().lastMembersIndex() <= core.commitIndex();
  }

  /** Returns whether a replica has on disk all that was committed at the check before. */
  private boolean isCaughtUp(Member member) {
    return progressOf(member).matchIndex() >= Math.max(commitIndexAtCheck, termStartIndex);
  }

  private boolean isSilent(Member voter, Instant now) {
    Instant heard = progressOf(voter).answeredSentAt();
    Instant since = heard.isAfter(electedAt) ? heard : electedAt;
    return !voter.equals(core.self()) && now.isAfter(since.plus(rules.silentVoterAfter()));
  }

  private void changeMembers(Instant now, ClusterMembers members) {
    append(now, EntryType.MEMBERS, ImmutableList.of(ReplicationMessages.encode(members)));
    replicate(now);
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
    for (Member member : core.others()) {
      sendAppend(now, member, true);
    }
  }

  /** Sends what the others lack. */
  void replicate(Instant now) {
    for (Member member : core.others()) {
      sendAppend(now, member, false);
    }
  }

  private void sendAppend(Instant now, Member member, boolean heartbeat) {
    PeerProgress peer = progressOf(member);
    SnapshotPoint base = core.log().base();
    if (peer.nextIndex() <= base.index()) {
      sendSnapshotPart(now, member, peer);
      if (heartbeat) {
        send(now, member, base.index(), base.term(), ImmutableList.of());
      }
      return;
    }
    long previous = peer.nextIndex() - 1;
    ImmutableList<LogEntry> batch =
        peer.hasRoom() && previous < core.log().lastIndex()
            ? core.log().from(peer.nextIndex(), MAXIMUM_BATCH_BYTES)
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

  private void sendSnapshotPart(Instant now, Member member, PeerProgress peer) {
    SnapshotPoint base = core.log().base();
    long offset = peer.snapshotOffset(base.index());
    if (peer.awaitsSnapshotAnswer(now.minus(core.timings().electionTimeout()))) {
      return;
    }
    SnapshotChunk chunk =
        new SnapshotChunk(core.headerTo(member), base, offset, 0, Payload.EMPTY, now);
    core.add(new Effect.SendSnapshotChunk(member.process(), chunk));
    peer.onSnapshotSent(now);
  }

  /** Takes the answer to an append. */
  void onAppendReply(Instant now, Member from, AppendReply reply) {
    PeerProgress peer = progressOf(from);
    peer.onAnswer(reply.round(), reply.sentAt());
    if (reply.accepted()) {
      peer.onMatch(reply.matchIndex());
    } else {
      peer.onMismatch(reply.matchIndex());
    }
    advanceCommit(now);
    sendAppend(now, from, false);
  }

  /** Takes the answer to a part of a snapshot. */
  void onSnapshotReply(Instant now, Member from, SnapshotReply reply) {
    PeerProgress peer = progressOf(from);
    peer.onAnswer(0, reply.sentAt());
    peer.onSnapshotAnswer(reply.index(), reply.nextOffset());
    if (reply.installed()) {
      peer.onMatch(reply.index());
    }
    sendAppend(now, from, false);
  }

  /** Commits what a quorum of the voters has on disk, and answers the reads that this frees. */
  void advanceCommit(Instant now) {
    long durable = core.durability().durableIndex();
    long onQuorum = agreed(PeerProgress::matchIndex, durable);
    boolean ofThisTerm = core.log().termAt(onQuorum).filter(this::isThisTerm).isPresent();
    if (ofThisTerm) {
      core.commitThrough(onQuorum);
    }
    answerReads(now);
  }

  private boolean isThisTerm(long term) {
    return term == core.term();
  }

  /** Takes a read, which is answered once this replica is known to lead still. */
  void read(Instant now, long token) {
    reads.add(new PendingRead(token, round + 1));
    startReadRound(now);
    answerReads(now);
  }

  /** Asks the others for the reads that wait, unless a round that serves a read is under way. */
  private void startReadRound(Instant now) {
    boolean underWay = reads.stream().anyMatch(read -> read.round() <= round);
    if (!reads.isEmpty() && !underWay) {
      sendHeartbeats(now);
    }
  }

  private void answerReads(Instant now) {
    if (reads.isEmpty() || core.commitIndex() < termStartIndex) {
      return;
    }
    // Not the lease: a suspended process's clock stands still, so its lease seems to hold after.
    long confirmed = agreed(PeerProgress::answeredRound, round);
    ImmutableList<Long> answered =
        reads.stream()
            .filter(read -> read.round() <= confirmed)
            .map(PendingRead::token)
            .collect(ImmutableList.toImmutableList());
    if (!answered.isEmpty()) {
      reads.removeIf(read -> read.round() <= confirmed);
      core.add(new Effect.AnswerReads(answered));
      startReadRound(now);
    }
  }

  /** Refuses the reads that wait, because this replica leads no more. */
  void end() {
    if (!reads.isEmpty()) {
      core.add(
          new Effect.RefuseReads(
              reads.stream().map(PendingRead::token).collect(ImmutableList.toImmutableList())));
      reads.clear();
    }
  }

  /** Returns until when no other replica can have been elected. */
  Instant leaseEnd() {
    return quorumSentAt().plus(core.timings().lease());
  }

  /** Returns whether a quorum answered within the election timeout. */
  boolean hasQuorum(Instant now) {
    Instant heard = quorumSentAt();
    Instant since = heard.isAfter(electedAt) ? heard : electedAt;
    return Duration.between(since, now).compareTo(core.timings().electionTimeout()) < 0;
  }

  private Instant quorumSentAt() {
    return agreed(PeerProgress::answeredSentAt, Instant.MAX.minus(core.timings().lease()));
  }

  /** Returns the voter that has the most entries, to lead next. */
  Optional<Member> successor() {
    return core.otherVoters().stream()
        .max(Comparator.comparingLong(voter -> progressOf(voter).matchIndex()));
  }

  /** Returns the greatest value that a quorum of the voters reached. */
  private <T extends Comparable<T>> T agreed(Function<PeerProgress, T> value, T own) {
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
    return progress.computeIfAbsent(
        member.replica(), replica -> new PeerProgress(core.log().lastIndex() + 1));
  }

  private record PendingRead(long token, long round) {}
}
