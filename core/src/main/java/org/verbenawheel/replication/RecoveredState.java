package org.verbenawheel.replication;

import com.google.common.collect.ImmutableList;

/**
 * The state that a replica reads from its disk when it starts.
 *
 * @param hardState its term, vote and cluster
 * @param snapshot the position of its newest snapshot in the log
 * @param entries the entries after the snapshot, without gaps
 */
public record RecoveredState(
    HardState hardState, SnapshotPoint snapshot, ImmutableList<LogEntry> entries) {
  /** The state of a replica with an empty folder. */
  public static final RecoveredState EMPTY =
      new RecoveredState(HardState.INITIAL, SnapshotPoint.NONE, ImmutableList.of());
}
