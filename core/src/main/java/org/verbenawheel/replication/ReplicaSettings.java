package org.verbenawheel.replication;

import com.google.common.collect.ImmutableSortedSet;
import java.time.Duration;
import org.verbenawheel.identity.ProcessId;

/**
 * What a replica is told by its settings.
 *
 * @param self its process
 * @param initialVoters the processes that found the cluster, and that may be members later
 * @param mayFound whether this replica may found a cluster, or take part in the founding of one
 * @param timings the times that the cluster agrees on
 * @param commandTimeout how long a command may wait for its commit
 * @param snapshotInterval how many entries are applied between two snapshots
 * @param groupCommit whether one sync may cover many commands
 */
record ReplicaSettings(
    ProcessId self,
    ImmutableSortedSet<ProcessId> initialVoters,
    boolean mayFound,
    ReplicationTimings timings,
    Duration commandTimeout,
    int snapshotInterval,
    boolean groupCommit) {}
