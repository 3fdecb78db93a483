package org.verbenawheel.replication;

import java.util.Optional;
import java.util.function.Predicate;
import org.verbenawheel.replication.MemberChange.Reason;

/**
 * Computes the membership changes of a cluster, at most one voter per change.
 *
 * <p>A replica that lost its folder returns with a new identity. It is a learner until it has the
 * log; then its old identity is removed; then it becomes a voter. The old identity is removed first
 * because this order needs fewer running replicas for a quorum between the two changes.
 */
final class MemberChanges {
  private MemberChanges() {}

  /**
   * Returns the members with a newcomer added as a learner.
   *
   * @return empty if the newcomer is a member, was one, or runs in the leader's own process
   */
  static Optional<MemberChange> admit(ClusterMembers members, Member leader, Member newcomer) {
    if (members.find(newcomer.replica()).isPresent()
        || members.retired().contains(newcomer.replica())
        || newcomer.process().equals(leader.process())) {
      return Optional.empty();
    }
    return Optional.of(
        new MemberChange(Reason.INTRODUCED, newcomer, members.withLearner(newcomer)));
  }

  /**
   * Returns the next change: a caught-up learner replaces the voter of its own process, fills a
   * free voter place, or replaces an unresponsive voter.
   *
   * @param isCaughtUp whether a learner has all committed entries on its disk
   * @param isUnresponsive whether a voter has not replied for the time that the rules allow
   * @param maximumVoters the maximum number of voters
   * @return empty if no change is due
   */
  static Optional<MemberChange> next(
      ClusterMembers members,
      Member leader,
      Predicate<Member> isCaughtUp,
      Predicate<Member> isUnresponsive,
      int maximumVoters) {
    return members.learners().stream()
        .filter(learner -> !learner.process().equals(leader.process()))
        .filter(isCaughtUp)
        .findFirst()
        .flatMap(learner -> nextFor(members, learner, isUnresponsive, maximumVoters));
  }

  private static Optional<MemberChange> nextFor(
      ClusterMembers members, Member learner, Predicate<Member> isUnresponsive, int maximumVoters) {
    Optional<Member> replaced = members.voterOf(learner.process());
    if (replaced.isPresent()) {
      return replaced.map(voter -> retirement(members, voter, Reason.DISK_REPLACED));
    }
    if (members.voters().size() < maximumVoters) {
      return Optional.of(
          new MemberChange(Reason.CAUGHT_UP, learner, members.withPromoted(learner)));
    }
    return members.voters().stream()
        .filter(isUnresponsive)
        .findFirst()
        .map(voter -> retirement(members, voter, Reason.VOTER_UNRESPONSIVE));
  }

  private static MemberChange retirement(ClusterMembers members, Member voter, Reason reason) {
    return new MemberChange(reason, voter, members.withRetired(voter));
  }
}
