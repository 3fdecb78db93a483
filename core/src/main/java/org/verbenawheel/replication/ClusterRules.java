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
 * @param unresponsiveTimeout how long a member may leave the leader without a reply before a
 *     learner replaces it if it votes, or before it is removed if it learns
 */
record ClusterRules(
    ImmutableSortedSet<ProcessId> initialVoters,
    boolean mayFoundCluster,
    int maximumVoters,
    Duration unresponsiveTimeout) {}
