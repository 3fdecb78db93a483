package org.verbenawheel.replication;

import com.google.common.collect.ImmutableList;

/**
 * What a replica finds on its disk when it starts.
 *
 * @param hardState its term and vote
 * @param snapshot where its newest snapshot stands
 * @param entries the entries after the snapshot, without gaps
 */
public record RecoveredLog(
    HardState hardState, SnapshotPoint snapshot, ImmutableList<LogEntry> entries) {
  /** What an empty folder holds. */
  public static final RecoveredLog EMPTY =
      new RecoveredLog(HardState.INITIAL, SnapshotPoint.NONE, ImmutableList.of());
}
