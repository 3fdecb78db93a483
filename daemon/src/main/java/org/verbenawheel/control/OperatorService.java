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
 * The operations of a control process that the operator interface offers. Reads other than {@link
 * #status} complete once a quorum has confirmed that this process leads; on any other process they
 * fail with {@link org.verbenawheel.replication.NotLeaderException}.
 */
interface OperatorService {
  /** Returns the role, term and readiness of this process, without asking the other replicas. */
  StatusReport status();

  /** Returns the accepted configuration. */
  CompletableFuture<VersionedConfiguration> configuration();

  /** Returns the latest changes of the configuration, oldest first. */
  CompletableFuture<ImmutableList<ConfigurationChange>> history();

  /** Returns the pools. */
  CompletableFuture<ImmutableList<PoolReport>> pools();

  /** Returns the hosts. */
  CompletableFuture<ImmutableList<HostRecord>> hosts();

  /** Returns the progress of maintenance and the wave that would start next. */
  CompletableFuture<MaintenanceReport> maintenance();

  /** Returns the state of the members of the log, as this replica knows it. */
  CompletableFuture<ReplicaStatus> replicas();

  /**
   * Commits a command. Fails with {@link org.verbenawheel.replication.NotLeaderException} if this
   * process does not lead or is draining.
   *
   * @param envelope the command and, optionally, the id that makes a repetition harmless
   */
  CompletableFuture<CommandReply> submit(CommandEnvelope envelope);
}
