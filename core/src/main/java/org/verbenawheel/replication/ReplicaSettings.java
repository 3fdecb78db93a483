package org.verbenawheel.replication;

import java.time.Duration;
import org.verbenawheel.identity.ProcessId;

/**
 * The settings of one replica.
 *
 * @param self its process
 * @param rules how the cluster is founded and changes its members
 * @param timings the timings that all replicas share
 * @param commandTimeout how long a command may wait for its commit before it fails
 * @param snapshotPolicy decides when a snapshot is due
 * @param groupCommit whether one sync may cover many commands
 */
record ReplicaSettings(
    ProcessId self,
    ClusterRules rules,
    ReplicationTimings timings,
    Duration commandTimeout,
    SnapshotPolicy snapshotPolicy,
    boolean groupCommit) {}
