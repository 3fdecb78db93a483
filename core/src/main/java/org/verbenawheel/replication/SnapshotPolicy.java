package org.verbenawheel.replication;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Decides when the entries since the last snapshot are replaced by a new one. Until then they take
 * memory and disk.
 *
 * @param maximumEntries the number of entries applied between two snapshots
 * @param maximumLogBytes the length of the payloads of these entries, in bytes
 */
record SnapshotPolicy(int maximumEntries, long maximumLogBytes) {
  SnapshotPolicy {
    checkArgument(maximumEntries > 0, "maximum of entries %s is not positive", maximumEntries);
    checkArgument(maximumLogBytes > 0, "maximum of bytes %s is not positive", maximumLogBytes);
  }

  /**
   * Returns whether a snapshot is due. A snapshot that is longer than the maximum is not written
   * again before the log has reached its length, so that writing snapshots never costs more than
   * writing the log.
   *
   * @param entries the number of entries applied since the last snapshot
   * @param logBytes the length of their payloads, in bytes
   * @param lastSnapshotBytes the length of the last snapshot, in bytes; 0 if there is none
   */
  boolean isDue(long entries, long logBytes, long lastSnapshotBytes) {
    return entries >= maximumEntries || logBytes >= Math.max(maximumLogBytes, lastSnapshotBytes);
  }
}
