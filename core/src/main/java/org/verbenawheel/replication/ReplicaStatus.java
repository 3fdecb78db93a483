package org.verbenawheel.replication;

import java.time.Instant;
import java.util.Optional;
import org.verbenawheel.identity.ProcessId;

/**
 * A replica's view of itself and its cluster, for dumps and for components that follow the leader.
 *
 * @param process the replica's process
 * @param replica its identity
 * @param role its role in the term
 * @param term its current term
 * @param leader the process that leads this term, if known
 * @param leaseEnd the end of the leader lease, if this replica leads
 * @param commitIndex the index of the last entry known to be committed
 * @param durableIndex the index of the last entry on its disk
 * @param lastIndex the index of its last entry
 * @param snapshotIndex the index of the last entry that is only in its snapshot
 * @param logBytes the memory that the entries after the snapshot take, in bytes
 * @param membersIndex the index of the entry that defines the members in force; they are final once
 *     it is committed
 * @param members the members of the cluster; empty before this replica joined one
 * @param respondingVoters if this replica leads, how many voters, itself included, replied within
 *     the election timeout
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
    long logBytes,
    long membersIndex,
    Optional<ClusterMembers> members,
    Optional<Integer> respondingVoters) {

  /**
   * Returns whether the replica leads and its leader lease has not expired.
   *
   * @param now the current time
   */
  public boolean mayDecide(Instant now) {
    return role == Role.LEADER && leaseEnd.isPresent() && now.isBefore(leaseEnd.get());
  }

  /**
   * Returns how many of the responding voters may be lost until no quorum is left; empty if this
   * replica does not lead.
   */
  public Optional<Integer> bearableLosses() {
    return respondingVoters.flatMap(
        responding -> members.map(current -> Math.max(0, responding - current.quorum())));
  }

  /** Returns the number of entries after the snapshot. */
  public long logEntries() {
    return lastIndex - snapshotIndex;
  }

  /** Returns whether this replica votes, learns, or is no member as far as it knows. */
  public Membership membership() {
    return members.map(current -> current.membershipOf(replica)).orElse(Membership.NONE);
  }
}
