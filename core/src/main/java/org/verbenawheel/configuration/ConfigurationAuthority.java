package org.verbenawheel.configuration;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.verbenawheel.identity.ProcessId;

/**
 * Confirms that this replica's state is current, so that {@link ConfigurationService} can answer
 * with a linearizable read. Implemented on the replicated log.
 */
public interface ConfigurationAuthority {
  /**
   * Confirms by the leader lease or by a round to a quorum that this replica's state is current.
   *
   * @return a future that completes once this replica has applied every command that any replica
   *     committed before this call; it fails with any exception if that cannot be confirmed
   */
  CompletableFuture<Void> confirm();

  /** Returns the leader as far as this replica knows, which may be itself; empty if unknown. */
  Optional<ProcessId> leader();
}
