package org.verbenawheel.pool;

import java.util.Optional;
import org.verbenawheel.configuration.PoolSettings;
import org.verbenawheel.identity.HostName;
import org.verbenawheel.replication.CommandReply;

/** The replies of {@link PoolState} to commands. */
public sealed interface PoolReply extends CommandReply {

  /**
   * The pool was defined.
   *
   * @param settings the settings now in effect
   */
  record PoolDefined(PoolSettings settings) implements PoolReply {}

  /**
   * The command took effect, now or when it was sent earlier.
   *
   * @param host the host's current record
   */
  record HostChanged(HostRecord host) implements PoolReply {}

  /**
   * The host was removed from the fleet.
   *
   * @param host the host
   */
  record HostRetired(HostName host) implements PoolReply {}

  /**
   * The command changed nothing.
   *
   * @param reason the cause, for programs
   * @param message the cause and what the operator can do, for people
   * @param currentVersion the current version of the host; empty if no such host is registered or
   *     the refusal concerns a pool
   */
  record Refused(PoolRefusalReason reason, String message, Optional<Long> currentVersion)
      implements PoolReply {}
}
