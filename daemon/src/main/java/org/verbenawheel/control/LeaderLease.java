package org.verbenawheel.control;

import java.time.Instant;
import java.time.InstantSource;
import java.util.Optional;
import org.verbenawheel.pool.Leadership;
import org.verbenawheel.replication.ReplicaProcess;
import org.verbenawheel.replication.ReplicaStatus;

/** Reports to the controllers when the lease of the replica in this process ends. */
final class LeaderLease implements Leadership {
  private final ReplicaProcess replica;
  private final InstantSource clock;

  LeaderLease(ReplicaProcess replica, InstantSource clock) {
    this.replica = replica;
    this.clock = clock;
  }

  @Override
  public Optional<Instant> leaseUntil() {
    return replica
        .status()
        .filter(status -> status.mayDecide(clock.instant()))
        .flatMap(ReplicaStatus::leaseEnd);
  }
}
