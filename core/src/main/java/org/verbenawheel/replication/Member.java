package org.verbenawheel.replication;

import org.verbenawheel.identity.ProcessId;

/**
 * One replica of a cluster.
 *
 * @param process the process that messages for the replica go to
 * @param replica the identity stored with the replica's data
 */
public record Member(ProcessId process, ReplicaId replica) {}
