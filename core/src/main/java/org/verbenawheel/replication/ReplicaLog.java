package org.verbenawheel.replication;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableList;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Holds in memory the log entries after the newest snapshot, and the cluster members that they
 * define.
 *
 * <p>The members of the last {@link EntryType#MEMBERS} entry are in force as soon as it is
 * appended, whether it is committed or not. Not thread-safe.
 */
final class ReplicaLog {
  private final NavigableMap<Long, ClusterMembers> membersByIndex = new TreeMap<>();
  private SnapshotPoint base;
  private List<LogEntry> entries = new ArrayList<>();
  private long bytes;

  ReplicaLog(SnapshotPoint base) {
    this.base = base;
  }

  /** Returns the snapshot point that precedes the entries of this log. */
  SnapshotPoint base() {
    return base;
  }

  /** Returns the memory that the payloads of the entries take, in bytes. */
  long bytes() {
    return bytes;
  }

  /** Returns the index of the last entry; that of the snapshot if there is none. */
  long lastIndex() {
    return base.index() + entries.size();
  }

  /** Returns the term of the last entry. */
  long lastTerm() {
    return entries.isEmpty() ? base.term() : entries.get(entries.size() - 1).term();
  }

  /** Returns the state time of the last entry. */
  Instant lastStateTime() {
    return entries.isEmpty() ? base.stateTime() : entries.get(entries.size() - 1).stateTime();
  }

  /**
   * Returns the term of an entry.
   *
   * @param index its index
   * @return empty if the entry is before the snapshot or not appended yet
   */
  Optional<Long> termAt(long index) {
    if (index == base.index()) {
      return Optional.of(base.term());
    }
    return entryAt(index).map(LogEntry::term);
  }

  /** Returns the entry with the index, if it is in memory. */
  Optional<LogEntry> entryAt(long index) {
    if (index <= base.index() || index > lastIndex()) {
      return Optional.empty();
    }
    return Optional.of(entries.get(positionOf(index)));
  }

  /** Returns the members in force. */
  Optional<ClusterMembers> members() {
    return membersByIndex.isEmpty()
        ? base.members()
        : Optional.of(membersByIndex.lastEntry().getValue());
  }

  /** Returns the index of the last entry that changed the members; that of the snapshot if none. */
  long lastMembersIndex() {
    return membersByIndex.isEmpty() ? base.index() : membersByIndex.lastKey();
  }

  /** Returns the members as of an entry. */
  Optional<ClusterMembers> membersAt(long index) {
    var change = membersByIndex.floorEntry(index);
    return change == null ? base.members() : Optional.of(change.getValue());
  }

  /** Adds an entry at the end. */
  void append(LogEntry entry) {
    checkArgument(
        entry.index() == lastIndex() + 1,
        "entry %s appended after entry %s",
        entry.index(),
        lastIndex());
    entries.add(entry);
    bytes += entry.payload().storedLength();
    if (entry.type() == EntryType.MEMBERS) {
      membersByIndex.put(entry.index(), ReplicationMessages.membersOf(entry));
    }
  }

  /** Removes the entry with the index and all after it. */
  void truncateFrom(long index) {
    List<LogEntry> removed = entries.subList(positionOf(index), entries.size());
    bytes -= bytesOf(removed);
    removed.clear();
    membersByIndex.tailMap(index, true).clear();
  }

  /** Returns the entries between two indexes, the first excluded and the last included. */
  ImmutableList<LogEntry> entriesBetween(long afterIndex, long throughIndex) {
    return ImmutableList.copyOf(
        entries.subList(positionOf(afterIndex + 1), positionOf(throughIndex + 1)));
  }

  /**
   * Returns the entries from an index on, up to a size.
   *
   * @param index the first one
   * @param maximumBytes the maximum payload size in bytes; one entry is returned in any case
   */
  ImmutableList<LogEntry> entriesFrom(long index, int maximumBytes) {
    ImmutableList.Builder<LogEntry> batch = ImmutableList.builder();
    long bytes = 0;
    for (int position = positionOf(index); position < entries.size(); position++) {
      LogEntry entry = entries.get(position);
      bytes += entry.payload().length();
      if (bytes > maximumBytes && position > positionOf(index)) {
        break;
      }
      batch.add(entry);
    }
    return batch.build();
  }

  /**
   * Drops the entries that a snapshot covers.
   *
   * @param index the index of the snapshot; that of an entry in this log
   */
  void compactThrough(long index) {
    LogEntry last = entryAt(index).orElseThrow();
    SnapshotPoint next = new SnapshotPoint(index, last.term(), last.stateTime(), membersAt(index));
    entries = new ArrayList<>(entries.subList(positionOf(index + 1), entries.size()));
    bytes = bytesOf(entries);
    membersByIndex.headMap(index, true).clear();
    base = next;
  }

  /** Drops all entries and continues from a snapshot. */
  void resetTo(SnapshotPoint point) {
    entries = new ArrayList<>();
    bytes = 0;
    membersByIndex.clear();
    base = point;
  }

  private static long bytesOf(List<LogEntry> entries) {
    return entries.stream().mapToLong(entry -> entry.payload().storedLength()).sum();
  }

  private int positionOf(long index) {
    return Math.toIntExact(index - base.index() - 1);
  }
}
