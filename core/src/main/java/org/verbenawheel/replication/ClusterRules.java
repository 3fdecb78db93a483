package org.verbenawheel.replication;

import com.google.common.collect.ImmutableSortedSet;
import java.time.Duration;
import org.verbenawheel.identity.ProcessId;

/**
 * How a cluster is founded and how it changes its members.
 *
 * @param initialVoters the processes that found the cluster, and that newcomers introduce
 *     themselves to; processes that join later need not be named
 * @param mayFound whether this replica may found a cluster, or take part in the founding of one
 * @param maximumVoters how many replicas vote at most; further ones wait as learners until a voter
 *     has been silent for long
 * @param silentVoterAfter how long a voter may be silent before a learner takes its place
 */
record ClusterRules(
    ImmutableSortedSet<ProcessId> initialVoters,
    boolean mayFound,
    int maximumVoters,
    Duration silentVoterAfter) {}
