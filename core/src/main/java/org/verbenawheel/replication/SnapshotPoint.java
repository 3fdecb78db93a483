package org.verbenawheel.replication;

import java.time.Instant;
import java.util.Optional;
import org.verbenawheel.peer.PeerMessage;

/**
 * The position of a snapshot in the log, with the state that the log needs to continue from it.
 *
 * @param index the index of the last entry that it includes; 0 for none
 * @param term the term of that entry
 * @param stateTime the state time of that entry
 * @param members the members of the cluster as of that entry; empty only for index 0
 */
public record SnapshotPoint(
    long index, long term, Instant stateTime, Optional<ClusterMembers> members)
    implements PeerMessage {
  /** The point before the first entry. */
  public static final SnapshotPoint NONE = new SnapshotPoint(0, 0, Instant.EPOCH, Optional.empty());
}
