package org.verbenawheel.pool;

import java.time.Instant;
import java.util.Optional;

/** Provides the leader lease of this process, which a controller must hold to act. Thread-safe. */
public interface Leadership {
  /**
   * Returns the end of the leader lease, before which no other process can be leader.
   *
   * @return the end of the lease; empty if this process is not the leader, or has not yet applied
   *     every command that was committed before it became leader
   */
  Optional<Instant> leaseUntil();
}
