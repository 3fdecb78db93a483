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
 * @param snapshotInterval the number of entries applied between two snapshots
 * @param groupCommit whether one sync may cover many commands
 */
record ReplicaSettings(
    ProcessId self,
    ClusterRules rules,
    ReplicationTimings timings,
    Duration commandTimeout,
    int snapshotInterval,
    boolean groupCommit) {}
