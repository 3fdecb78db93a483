package org.verbenawheel.replication;

import java.time.Duration;
import org.verbenawheel.identity.ProcessId;

/**
 * What a replica is told by its settings.
 *
 * @param self its process
 * @param rules how the cluster is founded and changes
 * @param timings the times that the cluster agrees on
 * @param commandTimeout how long a command may wait for its commit
 * @param snapshotInterval how many entries are applied between two snapshots
 * @param groupCommit whether one sync may cover many commands
 */
record ReplicaSettings(
    ProcessId self,
    ClusterRules rules,
    ReplicationTimings timings,
    Duration commandTimeout,
    int snapshotInterval,
    boolean groupCommit) {}
