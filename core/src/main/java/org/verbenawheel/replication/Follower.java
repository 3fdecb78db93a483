package org.verbenawheel.replication;

import com.google.common.collect.ImmutableList;
import java.io.ByteArrayOutputStream;
import java.util.Optional;
import org.verbenawheel.replication.ReplicationMessage.Append;
import org.verbenawheel.replication.ReplicationMessage.AppendReply;
import org.verbenawheel.replication.ReplicationMessage.Header;
import org.verbenawheel.replication.ReplicationMessage.SnapshotChunk;
import org.verbenawheel.replication.ReplicationMessage.SnapshotReply;

/**
 * Stores the entries and snapshots that the leader of the current term sends, and replies once they
 * are synced to disk. Not thread-safe.
 */
final class Follower {
  private final ReplicaCore core;
  private SnapshotPoint incomingPoint = SnapshotPoint.NONE;
  private ByteArrayOutputStream receivedBytes = new ByteArrayOutputStream();

  Follower(ReplicaCore core) {
    this.core = core;
  }

  /**
   * Appends the leader's entries that are missing here and commits up to the leader's commit index,
   * or rejects the append if the entry before the first one sent is missing or of another term.
   */
  void onAppend(Member from, Append append) {
    if (!hasPreviousEntry(append)) {
      sendAppendReply(from, append, false, mismatchHint(append));
      return;
    }
    long last = append.previousIndex() + append.batch().entries().size();
    boolean written = appendMissing(append.batch().entries());
    core.commitThrough(Math.min(append.commitIndex(), last));
    if (written) {
      core.durability()
          .sendWhenAllSynced(appendReplyEffect(from, append, true, last), core.effects());
      return;
    }
    sendAppendReply(from, append, true, Math.min(last, core.durability().durableIndex()));
  }

  /** Rejects an append of an older term; the reply carries the newer term. */
  void rejectAppend(Member from, Append append) {
    sendAppendReply(from, append, false, core.log().lastIndex());
  }

  private boolean hasPreviousEntry(Append append) {
    if (append.previousIndex() < core.log().base().index()) {
      return true;
    }
    return core.log()
        .termAt(append.previousIndex())
        .filter(term -> term == append.previousTerm())
        .isPresent();
  }

  /**
   * Returns the index of the last entry that may match the leader's. It skips the whole term of the
   * differing entry, so that one reply is enough for each such term.
   */
  private long mismatchHint(Append append) {
    long index = Math.min(append.previousIndex(), core.log().lastIndex());
    Optional<Long> differing = core.log().termAt(index);
    while (index > core.commitIndex() && core.log().termAt(index).equals(differing)) {
      index--;
    }
    boolean isMissing = append.previousIndex() > core.log().lastIndex();
    return isMissing ? core.log().lastIndex() : index;
  }

  /** Appends the entries from the first new or differing one on. Returns whether there was one. */
  private boolean appendMissing(ImmutableList<LogEntry> entries) {
    for (int position = 0; position < entries.size(); position++) {
      LogEntry entry = entries.get(position);
      if (entry.index() <= core.log().base().index() || hasEntry(entry)) {
        continue;
      }
      removeFrom(entry.index());
      core.append(entries.subList(position, entries.size()));
      return true;
    }
    return false;
  }

  private boolean hasEntry(LogEntry entry) {
    return core.log().termAt(entry.index()).filter(term -> term == entry.term()).isPresent();
  }

  private void removeFrom(long index) {
    if (index > core.log().lastIndex()) {
      return;
    }
    if (index <= core.commitIndex()) {
      throw new IllegalStateException(
          "leader " + core.leader() + " replaces the committed entry " + index);
    }
    core.log().truncateFrom(index);
    core.durability().truncateAfter(index - 1);
  }

  private void sendAppendReply(Member to, Append append, boolean accepted, long matchIndex) {
    core.durability()
        .sendWhenHardStateSynced(
            appendReplyEffect(to, append, accepted, matchIndex), core.effects());
  }

  private Effect.Send appendReplyEffect(
      Member to, Append append, boolean accepted, long matchIndex) {
    Header header = replyHeader(append.header());
    return core.sendEffect(
        to, new AppendReply(header, accepted, matchIndex, append.round(), append.sentAt()));
  }

  private Header replyHeader(Header header) {
    return new Header(header.cluster(), core.self().replica(), header.from(), core.term());
  }

  /** Adds a snapshot chunk to those received, and installs the snapshot once it is complete. */
  void onSnapshotChunk(Member from, SnapshotChunk chunk) {
    long index = chunk.point().index();
    if (index <= core.commitIndex()) {
      boolean durable = core.durability().durableIndex() >= index;
      sendSnapshotReply(from, chunk, chunk.totalLength(), durable);
      return;
    }
    if (!chunk.point().equals(incomingPoint)) {
      startReceiving(chunk.point());
    }
    if (chunk.offset() == receivedBytes.size()) {
      receivedBytes.writeBytes(chunk.part().bytes());
    }
    if (receivedBytes.size() < chunk.totalLength()) {
      sendSnapshotReply(from, chunk, receivedBytes.size(), false);
      return;
    }
    install(chunk.point(), Payload.of(receivedBytes.toByteArray()));
    startReceiving(SnapshotPoint.NONE);
    core.durability()
        .sendWhenAllSynced(
            snapshotReplyEffect(from, chunk, chunk.totalLength(), true), core.effects());
  }

  private void startReceiving(SnapshotPoint point) {
    incomingPoint = point;
    receivedBytes = new ByteArrayOutputStream();
  }

  private void install(SnapshotPoint point, Payload state) {
    boolean keepLog =
        core.log().termAt(point.index()).filter(term -> term == point.term()).isPresent();
    if (keepLog) {
      core.log().compactThrough(point.index());
    } else {
      core.log().resetTo(point);
      core.durability().resetEntries();
    }
    core.commitSnapshot(point);
    long sequence = core.durability().nextEntriesSequence(point.index());
    core.addEffect(new Effect.InstallSnapshot(sequence, point, state, keepLog));
  }

  private void sendSnapshotReply(
      Member to, SnapshotChunk chunk, long nextOffset, boolean installed) {
    core.durability()
        .sendWhenHardStateSynced(
            snapshotReplyEffect(to, chunk, nextOffset, installed), core.effects());
  }

  private Effect.Send snapshotReplyEffect(
      Member to, SnapshotChunk chunk, long nextOffset, boolean installed) {
    return core.sendEffect(
        to,
        new SnapshotReply(
            replyHeader(chunk.header()),
            chunk.point().index(),
            nextOffset,
            installed,
            chunk.sentAt()));
  }
}
