package org.verbenawheel.configuration;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.verbenawheel.identity.ProcessId;

/**
 * Confirms that this replica's state is current: the linearizable read that configuration answers
 * rest on. Implemented over the replicated log.
 */
public interface ConfigurationAuthority {
  /**
   * Confirms the state.
   *
   * @return completes once this replica's state holds every command that was committed anywhere
   *     before this call, by the leader's lease or a round to a quorum; fails with any exception if
   *     that cannot be known
   */
  CompletableFuture<Void> confirm();

  /** Returns the replica that this one takes for the leader, itself included, if it knows one. */
  Optional<ProcessId> leader();
}
