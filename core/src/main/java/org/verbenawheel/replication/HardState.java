package org.verbenawheel.replication;

import java.util.Optional;

/**
 * What a replica must remember over a restart besides its log.
 *
 * @param term the latest term it saw
 * @param vote the replica it voted for in that term
 * @param cluster the cluster that it took its first part in; it takes part in no other
 */
public record HardState(long term, Optional<ReplicaId> vote, Optional<ClusterId> cluster) {
  /** The state of a replica that saw no term. */
  public static final HardState INITIAL = new HardState(0, Optional.empty(), Optional.empty());
}
