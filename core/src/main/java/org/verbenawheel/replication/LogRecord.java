package org.verbenawheel.replication;

import com.google.common.collect.ImmutableList;

/**
 * One record of the log's files.
 *
 * @param resetIndex the index of a snapshot that makes all entries before this record void; 0 if
 *     none does
 * @param entries entries, each of which makes those before it with the same or a higher index void
 */
record LogRecord(long resetIndex, ImmutableList<LogEntry> entries) {
  /** Returns a record that adds entries. */
  static LogRecord adding(ImmutableList<LogEntry> entries) {
    return new LogRecord(0, entries);
  }

  /** Returns a record that makes all entries void, in favour of a snapshot. */
  static LogRecord resetTo(long snapshotIndex) {
    return new LogRecord(snapshotIndex, ImmutableList.of());
  }

  /** Returns the highest index that this record speaks of. */
  long highestIndex() {
    return entries.stream().mapToLong(LogEntry::index).max().orElse(resetIndex);
  }
}
