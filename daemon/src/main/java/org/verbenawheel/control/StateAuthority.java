package org.verbenawheel.control;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.verbenawheel.configuration.ConfigurationAuthority;
import org.verbenawheel.identity.ProcessId;
import org.verbenawheel.replication.ReplicaProcess;
import org.verbenawheel.replication.ReplicaStatus;

/** Confirms that a replica's state is current with a linearizable read of the replicated log. */
final class StateAuthority implements ConfigurationAuthority {
  private final ReplicaProcess replica;

  StateAuthority(ReplicaProcess replica) {
    this.replica = replica;
  }

  @Override
  public CompletableFuture<Void> confirm() {
    return CompletableFuture.allOf(replica.read(() -> true));
  }

  @Override
  public Optional<ProcessId> leader() {
    return replica.status().flatMap(ReplicaStatus::leader);
  }
}
