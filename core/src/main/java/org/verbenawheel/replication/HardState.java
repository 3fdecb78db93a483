package org.verbenawheel.replication;

import java.util.Optional;

/**
 * What a replica must remember over a restart besides its log.
 *
 * @param term the latest term it saw
 * @param vote the replica it voted for in that term
 */
public record HardState(long term, Optional<ReplicaId> vote) {
  /** The state of a replica that saw no term. */
  public static final HardState INITIAL = new HardState(0, Optional.empty());
}
