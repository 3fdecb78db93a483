package org.verbenawheel.replication;

import com.google.common.collect.ImmutableList;
import java.io.ByteArrayOutputStream;
import java.util.Optional;
import org.verbenawheel.replication.ReplicationMessage.Append;
import org.verbenawheel.replication.ReplicationMessage.AppendReply;
import org.verbenawheel.replication.ReplicationMessage.Header;
import org.verbenawheel.replication.ReplicationMessage.SnapshotChunk;
import org.verbenawheel.replication.ReplicationMessage.SnapshotReply;

/** What a replica does with the entries and snapshots that the leader of its term sends. */
final class Follower {
  private final ReplicaCore core;
  private SnapshotPoint incoming = SnapshotPoint.NONE;
  private ByteArrayOutputStream received = new ByteArrayOutputStream();

  Follower(ReplicaCore core) {
    this.core = core;
  }

  /** Takes entries of the present term's leader. */
  void onAppend(Member from, Append append) {
    if (!holdsPrevious(append)) {
      reply(from, append, false, hint(append));
      return;
    }
    long last = append.previousIndex() + append.batch().entries().size();
    boolean written = appendMissing(append.batch().entries());
    core.commitThrough(Math.min(append.commitIndex(), last));
    if (written) {
      core.durability().sendWhenAllSynced(replyTo(from, append, true, last), core.effects());
      return;
    }
    reply(from, append, true, Math.min(last, core.durability().durableIndex()));
  }

  /** Answers the leader of an older term. */
  void refuse(Member from, Append append) {
    reply(from, append, false, core.log().lastIndex());
  }

  private boolean holdsPrevious(Append append) {
    if (append.previousIndex() < core.log().base().index()) {
      return true;
    }
    return core.log()
        .termAt(append.previousIndex())
        .filter(term -> term == append.previousTerm())
        .isPresent();
  }

  /** Returns the last entry before the term that differs, so that one answer skips all of it. */
  private long hint(Append append) {
    long index = Math.min(append.previousIndex(), core.log().lastIndex());
    Optional<Long> differing = core.log().termAt(index);
    while (index > core.commitIndex() && core.log().termAt(index).equals(differing)) {
      index--;
    }
    boolean lacksOnly = append.previousIndex() > core.log().lastIndex();
    return lacksOnly ? core.log().lastIndex() : index;
  }

  /** Adds the entries that differ from those here. Returns whether there were any. */
  private boolean appendMissing(ImmutableList<LogEntry> entries) {
    for (int position = 0; position < entries.size(); position++) {
      LogEntry entry = entries.get(position);
      if (entry.index() <= core.log().base().index() || holds(entry)) {
        continue;
      }
      removeFrom(entry.index());
      core.append(entries.subList(position, entries.size()));
      return true;
    }
    return false;
  }

  private boolean holds(LogEntry entry) {
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

  private void reply(Member to, Append append, boolean accepted, long matchIndex) {
    core.durability()
        .sendWhenHardStateSynced(replyTo(to, append, accepted, matchIndex), core.effects());
  }

  private Effect.Send replyTo(Member to, Append append, boolean accepted, long matchIndex) {
    Header header = answer(append.header());
    return core.sendTo(
        to, new AppendReply(header, accepted, matchIndex, append.round(), append.sentAt()));
  }

  private Header answer(Header header) {
    return new Header(header.cluster(), core.self().replica(), header.from(), core.term());
  }

  /** Takes a part of a snapshot. */
  void onSnapshotChunk(Member from, SnapshotChunk chunk) {
    long index = chunk.point().index();
    if (index <= core.commitIndex()) {
      boolean durable = core.durability().durableIndex() >= index;
      replySnapshot(from, chunk, chunk.totalLength(), durable);
      return;
    }
    if (!chunk.point().equals(incoming)) {
      startReceiving(chunk.point());
    }
    if (chunk.offset() == received.size()) {
      received.writeBytes(chunk.part().bytes());
    }
    if (received.size() < chunk.totalLength()) {
      replySnapshot(from, chunk, received.size(), false);
      return;
    }
    install(chunk.point(), Payload.of(received.toByteArray()));
    startReceiving(SnapshotPoint.NONE);
    core.durability()
        .sendWhenAllSynced(snapshotReplyTo(from, chunk, chunk.totalLength(), true), core.effects());
  }

  private void startReceiving(SnapshotPoint point) {
    incoming = point;
    received = new ByteArrayOutputStream();
  }

  private void install(SnapshotPoint point, Payload image) {
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
    core.add(new Effect.InstallSnapshot(sequence, point, image, keepLog));
  }

  private void replySnapshot(Member to, SnapshotChunk chunk, long nextOffset, boolean installed) {
    core.durability()
        .sendWhenHardStateSynced(snapshotReplyTo(to, chunk, nextOffset, installed), core.effects());
  }

  private Effect.Send snapshotReplyTo(
      Member to, SnapshotChunk chunk, long nextOffset, boolean installed) {
    return core.sendTo(
        to,
        new SnapshotReply(
            answer(chunk.header()), chunk.point().index(), nextOffset, installed, chunk.sentAt()));
  }
}
