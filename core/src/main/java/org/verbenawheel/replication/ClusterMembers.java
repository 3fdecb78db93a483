package org.verbenawheel.replication;

import com.google.common.collect.ImmutableList;
import java.util.Optional;
import java.util.stream.Stream;
import org.verbenawheel.identity.ProcessId;
import org.verbenawheel.peer.PeerMessage;

/**
 * The members of a cluster, as stored in a log entry. Two successive versions differ by at most one
 * voter, so any quorum of one overlaps any quorum of the other.
 *
 * @param cluster the cluster
 * @param voters the replicas that vote and count towards a commit
 * @param learners the replicas that receive the log and do not count towards a quorum
 * @param retired identities of disks that were replaced, which can never rejoin; the oldest first
 */
public record ClusterMembers(
    ClusterId cluster,
    ImmutableList<Member> voters,
    ImmutableList<Member> learners,
    ImmutableList<ReplicaId> retired)
    implements PeerMessage {
  private static final int MAXIMUM_RETIRED = 1_000;

  /**
   * Returns the members of a new cluster.
   *
   * @param cluster the cluster's new identity
   * @param voters all its replicas
   */
  public static ClusterMembers founding(ClusterId cluster, ImmutableList<Member> voters) {
    return new ClusterMembers(cluster, voters, ImmutableList.of(), ImmutableList.of());
  }

  /** Returns how many voters make a quorum. */
  public int quorum() {
    return voters.size() / 2 + 1;
  }

  /** Returns the voters and the learners. */
  public ImmutableList<Member> all() {
    return Stream.concat(voters.stream(), learners.stream())
        .collect(ImmutableList.toImmutableList());
  }

  /** Returns whether the replica votes. */
  public boolean isVoter(ReplicaId replica) {
    return voters.stream().anyMatch(member -> member.replica().equals(replica));
  }

  /** Returns whether the replica votes, learns or is no member. */
  Membership membershipOf(ReplicaId replica) {
    if (isVoter(replica)) {
      return Membership.VOTER;
    }
    return find(replica).isPresent() ? Membership.LEARNER : Membership.NONE;
  }

  /** Returns the member with the identity. */
  public Optional<Member> find(ReplicaId replica) {
    return all().stream().filter(member -> member.replica().equals(replica)).findFirst();
  }

  /** Returns the voter that runs in the process. */
  public Optional<Member> voterOf(ProcessId process) {
    return voters.stream().filter(member -> member.process().equals(process)).findFirst();
  }

  /**
   * Returns these members with one more learner, which replaces other learners of the same process.
   *
   * @param learner the new replica
   */
  public ClusterMembers withLearner(Member learner) {
    ImmutableList<Member> kept =
        learners.stream()
            .filter(member -> !member.process().equals(learner.process()))
            .collect(ImmutableList.toImmutableList());
    ImmutableList<Member> next = ImmutableList.<Member>builder().addAll(kept).add(learner).build();
    return new ClusterMembers(cluster, voters, next, retired);
  }

  /**
   * Returns these members with a learner made a voter.
   *
   * @param learner one of the learners
   */
  public ClusterMembers withPromoted(Member learner) {
    ImmutableList<Member> nextVoters =
        ImmutableList.<Member>builder().addAll(voters).add(learner).build();
    return new ClusterMembers(cluster, nextVoters, without(learners, learner), retired);
  }

  /**
   * Returns these members without one voter, which may rejoin as a learner.
   *
   * @param voter one of the voters
   */
  public ClusterMembers withoutVoter(Member voter) {
    return new ClusterMembers(cluster, without(voters, voter), learners, retired);
  }

  /**
   * Returns these members without one learner, which may rejoin.
   *
   * @param learner one of the learners
   */
  public ClusterMembers withoutLearner(Member learner) {
    return new ClusterMembers(cluster, voters, without(learners, learner), retired);
  }

  /**
   * Returns these members without one voter, whose disk was replaced. Its identity can never
   * rejoin.
   *
   * @param voter one of the voters
   */
  public ClusterMembers withRetired(Member voter) {
    ImmutableList<ReplicaId> nextRetired =
        Stream.concat(retired.stream(), Stream.of(voter.replica()))
            .skip(Math.max(0, retired.size() + 1 - MAXIMUM_RETIRED))
            .collect(ImmutableList.toImmutableList());
    return new ClusterMembers(cluster, without(voters, voter), learners, nextRetired);
  }

  private static ImmutableList<Member> without(ImmutableList<Member> members, Member removed) {
    return members.stream()
        .filter(member -> !member.equals(removed))
        .collect(ImmutableList.toImmutableList());
  }
}
