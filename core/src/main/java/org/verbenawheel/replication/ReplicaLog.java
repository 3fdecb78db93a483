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
 * The entries after the newest snapshot, in memory, and the members that they state.
 *
 * <p>The members of the last such entry are in force at once, whether it is committed or not. Not
 * thread-safe.
 */
final class ReplicaLog {
  private final NavigableMap<Long, ClusterMembers> memberChanges = new TreeMap<>();
  private SnapshotPoint base;
  private List<LogEntry> entries = new ArrayList<>();

  ReplicaLog(SnapshotPoint base) {
    this.base = base;
  }

  /** Returns the point of the snapshot that this log continues. */
  SnapshotPoint base() {
    return base;
  }

  /** Returns the index of the last entry, or that of the snapshot if there is none. */
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
   * @return empty if the entry is before the snapshot or not there yet
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
    return Optional.of(entries.get(position(index)));
  }

  /** Returns the members in force. */
  Optional<ClusterMembers> members() {
    return memberChanges.isEmpty()
        ? base.members()
        : Optional.of(memberChanges.lastEntry().getValue());
  }

  /** Returns the index of the last entry that changed the members; that of the snapshot if none. */
  long lastMembersIndex() {
    return memberChanges.isEmpty() ? base.index() : memberChanges.lastKey();
  }

  /** Returns the members as of an entry. */
  Optional<ClusterMembers> membersAt(long index) {
    var change = memberChanges.floorEntry(index);
    return change == null ? base.members() : Optional.of(change.getValue());
  }

  /** Adds an entry at the end. */
  void append(LogEntry entry) {
    checkArgument(
        entry.index() == lastIndex() + 1, "entry %s after %s", entry.index(), lastIndex());
    entries.add(entry);
    if (entry.type() == EntryType.MEMBERS) {
      memberChanges.put(entry.index(), ReplicationMessages.membersOf(entry));
    }
  }

  /** Removes the entry with the index and all after it. */
  void truncateFrom(long index) {
    entries.subList(position(index), entries.size()).clear();
    memberChanges.tailMap(index, true).clear();
  }

  /** Returns the entries between two indexes, the first excluded and the last included. */
  ImmutableList<LogEntry> between(long afterIndex, long throughIndex) {
    return ImmutableList.copyOf(
        entries.subList(position(afterIndex + 1), position(throughIndex + 1)));
  }

  /**
   * Returns the entries from an index on, up to a size.
   *
   * @param index the first one
   * @param maximumBytes how many bytes of payload at most, but at least one entry
   */
  ImmutableList<LogEntry> from(long index, int maximumBytes) {
    ImmutableList.Builder<LogEntry> batch = ImmutableList.builder();
    long bytes = 0;
    for (int position = position(index); position < entries.size(); position++) {
      LogEntry entry = entries.get(position);
      bytes += entry.payload().length();
      if (bytes > maximumBytes && position > position(index)) {
        break;
      }
      batch.add(entry);
    }
    return batch.build();
  }

  /**
   * Forgets the entries that a snapshot holds.
   *
   * @param index the index of the snapshot; an entry of this log
   */
  void compactThrough(long index) {
    LogEntry last = entryAt(index).orElseThrow();
    SnapshotPoint next = new SnapshotPoint(index, last.term(), last.stateTime(), membersAt(index));
    entries = new ArrayList<>(entries.subList(position(index + 1), entries.size()));
    memberChanges.headMap(index, true).clear();
    base = next;
  }

  /** Drops all entries and continues from a snapshot. */
  void resetTo(SnapshotPoint point) {
    entries = new ArrayList<>();
    memberChanges.clear();
    base = point;
  }

  private int position(long index) {
    return Math.toIntExact(index - base.index() - 1);
  }
}
