package org.verbenawheel.replication;

import com.google.common.collect.ImmutableSortedSet;
import java.time.Duration;
import org.verbenawheel.identity.ProcessId;

/**
 * How a cluster is founded and how it changes its members.
 *
 * @param initialVoters the processes that found the cluster, and to which newcomers introduce
 *     themselves; processes that join later need not be named
 * @param mayFoundCluster whether this replica may found a cluster
 * @param maximumVoters the maximum number of voters; further replicas stay learners until a voter
 *     is unresponsive
 * @param unresponsiveVoterTimeout how long a voter may leave the leader without a reply before a
 *     learner replaces it
 */
record ClusterRules(
    ImmutableSortedSet<ProcessId> initialVoters,
    boolean mayFoundCluster,
    int maximumVoters,
    Duration unresponsiveVoterTimeout) {}
