package org.verbenawheel.replication;

import java.time.Instant;
import java.util.Optional;
import org.verbenawheel.identity.ProcessId;

/**
 * What a replica knows of itself and its cluster, for dumps and for whoever follows the leader.
 *
 * @param process the replica's process
 * @param replica its identity
 * @param role what it does
 * @param term its term
 * @param leader the process that leads this term, if it knows
 * @param leaseEnd until when it may decide, if it leads
 * @param commitIndex the last entry that it knows to be committed
 * @param durableIndex the last entry on its disk
 * @param lastIndex its last entry
 * @param snapshotIndex the last entry that is only in its snapshot
 * @param membersIndex the entry that stated the members in force; they are final once it is
 *     committed
 * @param members the members of the cluster; empty before there is one
 */
public record ReplicaStatus(
    ProcessId process,
    ReplicaId replica,
    Role role,
    long term,
    Optional<ProcessId> leader,
    Optional<Instant> leaseEnd,
    long commitIndex,
    long durableIndex,
    long lastIndex,
    long snapshotIndex,
    long membersIndex,
    Optional<ClusterMembers> members) {

  /**
   * Returns whether the replica leads and may decide.
   *
   * @param now the present moment
   */
  public boolean mayDecide(Instant now) {
    return role == Role.LEADER && leaseEnd.isPresent() && now.isBefore(leaseEnd.get());
  }
}
