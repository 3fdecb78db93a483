package org.verbenawheel.pool;

import java.util.Optional;
import org.verbenawheel.configuration.PoolSettings;
import org.verbenawheel.identity.HostName;
import org.verbenawheel.replication.CommandReply;

/** Marks the replies of {@link PoolState}. */
public sealed interface PoolReply extends CommandReply {

  /**
   * The pool has these settings now.
   *
   * @param settings the settings
   */
  record PoolDefined(PoolSettings settings) implements PoolReply {}

  /**
   * The command is in force, now or since an earlier send.
   *
   * @param host the host as it is now
   */
  record HostChanged(HostRecord host) implements PoolReply {}

  /**
   * The host is out of the fleet.
   *
   * @param host the host
   */
  record HostRetired(HostName host) implements PoolReply {}

  /**
   * The command changed nothing.
   *
   * @param reason why, for programs
   * @param message why and what to do about it, for people
   * @param currentVersion the version of the host now, if there is such a host
   */
  record Refused(PoolRefusalReason reason, String message, Optional<Long> currentVersion)
      implements PoolReply {}
}
