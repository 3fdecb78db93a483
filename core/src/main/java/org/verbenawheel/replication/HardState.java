package org.verbenawheel.replication;

import java.util.Optional;

/**
 * The state besides its log that a replica must keep across restarts.
 *
 * @param term the latest term that it entered
 * @param vote the replica it voted for in that term
 * @param cluster the cluster that it joined first; it joins no other
 */
public record HardState(long term, Optional<ReplicaId> vote, Optional<ClusterId> cluster) {
  /** The state of a replica that has entered no term. */
  public static final HardState INITIAL = new HardState(0, Optional.empty(), Optional.empty());
}
