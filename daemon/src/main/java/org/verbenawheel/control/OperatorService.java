package org.verbenawheel.control;

import com.google.common.collect.ImmutableList;
import java.util.concurrent.CompletableFuture;
import org.verbenawheel.configuration.ConfigurationChange;
import org.verbenawheel.configuration.VersionedConfiguration;
import org.verbenawheel.operator.MaintenanceReport;
import org.verbenawheel.operator.PoolReport;
import org.verbenawheel.operator.StatusReport;
import org.verbenawheel.pool.HostRecord;
import org.verbenawheel.replication.CommandEnvelope;
import org.verbenawheel.replication.CommandReply;
import org.verbenawheel.replication.ReplicaStatus;

/**
 * What the operator interface needs of a control process. Reads complete once a quorum has
 * confirmed them and fail with {@link org.verbenawheel.replication.NotLeaderException} elsewhere.
 */
interface OperatorService {
  /** Returns what this process knows of itself. */
  StatusReport status();

  /** Returns the accepted configuration. */
  CompletableFuture<VersionedConfiguration> configuration();

  /** Returns the latest changes of the configuration, oldest first. */
  CompletableFuture<ImmutableList<ConfigurationChange>> history();

  /** Returns the pools. */
  CompletableFuture<ImmutableList<PoolReport>> pools();

  /** Returns the hosts by name. */
  CompletableFuture<ImmutableList<HostRecord>> hosts();

  /** Returns how far maintenance has come and what would be done next. */
  CompletableFuture<MaintenanceReport> maintenance();

  /** Returns what this replica knows of the members of the log. */
  CompletableFuture<ReplicaStatus> replicas();

  /**
   * Commits a command, if this process leads.
   *
   * @param envelope the command and its identity
   */
  CompletableFuture<CommandReply> submit(CommandEnvelope envelope);
}
