package org.verbenawheel.replication;

import com.google.common.collect.ImmutableList;

/**
 * One record of the log files: appended entries, or a reset.
 *
 * @param resetIndex the index of a snapshot that invalidates all entries of earlier records; 0 if
 *     the record is not a reset
 * @param entries entries, each of which invalidates earlier ones with the same or a higher index
 */
record LogRecord(long resetIndex, ImmutableList<LogEntry> entries) {
  /** Returns a record that appends entries. */
  static LogRecord ofEntries(ImmutableList<LogEntry> entries) {
    return new LogRecord(0, entries);
  }

  /** Returns a record that invalidates all earlier entries, because a snapshot replaces them. */
  static LogRecord ofReset(long snapshotIndex) {
    return new LogRecord(snapshotIndex, ImmutableList.of());
  }

  /** Returns the highest entry index in this record, or the index of its reset. */
  long highestIndex() {
    return entries.stream().mapToLong(LogEntry::index).max().orElse(resetIndex);
  }
}
