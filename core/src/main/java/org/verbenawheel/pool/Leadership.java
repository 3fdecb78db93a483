package org.verbenawheel.pool;

import java.time.Instant;
import java.util.Optional;

/** Tells a controller whether this process may decide. Safe for use by many threads. */
public interface Leadership {
  /**
   * Returns until when no other process can be leader.
   *
   * @return the end of the leader lease; empty if this process is not the leader, or has not yet
   *     applied every command that was committed before it became leader
   */
  Optional<Instant> leaseUntil();
}
