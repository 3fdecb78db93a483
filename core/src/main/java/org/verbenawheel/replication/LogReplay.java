package org.verbenawheel.replication;

import com.google.common.collect.ImmutableList;
import java.util.Collection;
import java.util.NavigableMap;
import java.util.TreeMap;
import org.verbenawheel.storage.StorageException;

/**
 * Replays the records of the log files at startup to find the valid entries after a snapshot.
 *
 * <p>Log files may hold more than the memory does. So entries beyond {@link
 * #MAXIMUM_UNCOMPRESSED_BYTES} are kept compressed until they are compacted.
 */
final class LogReplay {
  /** The length of the payloads that are kept as they are, in bytes. */
  private static final long MAXIMUM_UNCOMPRESSED_BYTES = 16L * 1024 * 1024;

  /** Compression saves little of a payload that is shorter than this, in bytes. */
  private static final int MINIMUM_COMPRESSED_LENGTH = 512;

  private final SnapshotPoint snapshot;
  private final NavigableMap<Long, LogEntry> entries = new TreeMap<>();
  private long lastReset;
  private long uncompressedBytes;

  LogReplay(SnapshotPoint snapshot) {
    this.snapshot = snapshot;
  }

  /** Applies the next record of the log files. */
  void add(LogRecord record) {
    if (record.resetIndex() > 0) {
      lastReset = record.resetIndex();
      entries.clear();
    }
    for (LogEntry entry : record.entries()) {
      entries.tailMap(entry.index(), true).clear();
      entries.put(entry.index(), kept(entry));
    }
  }

  private LogEntry kept(LogEntry entry) {
    if (entry.payload().length() < MINIMUM_COMPRESSED_LENGTH
        || uncompressedBytes + entry.payload().length() <= MAXIMUM_UNCOMPRESSED_BYTES) {
      uncompressedBytes += entry.payload().length();
      return entry;
    }
    return new LogEntry(
        entry.index(), entry.term(), entry.stateTime(), entry.type(), entry.payload().compressed());
  }

  /**
   * Returns the entries after the snapshot.
   *
   * @throws StorageException if one is missing
   */
  ImmutableList<LogEntry> entries() throws StorageException {
    if (hasDivergentHistory()) {
      return ImmutableList.of();
    }
    Collection<LogEntry> after = entries.tailMap(snapshot.index(), false).values();
    long expected = snapshot.index() + 1;
    for (LogEntry entry : after) {
      if (entry.index() != expected) {
        throw new StorageException(
            "the log lacks entry "
                + expected
                + ": a log or snapshot file is missing. While the other replicas are up, move this"
                + " data folder away and start the process on an empty one");
      }
      expected++;
    }
    return ImmutableList.copyOf(after);
  }

  /**
   * Returns whether the entries diverge from the snapshot. A crash after the leader's snapshot was
   * written and before the log was reset leaves such entries.
   */
  private boolean hasDivergentHistory() {
    LogEntry atSnapshot = entries.get(snapshot.index());
    return atSnapshot != null
        && lastReset != snapshot.index()
        && atSnapshot.term() != snapshot.term();
  }
}
