package org.verbenawheel.replication;

import java.util.Optional;
import java.util.function.Predicate;

/**
 * Decides how the members of a cluster change, one voter at a time.
 *
 * <p>A replica whose folder was lost returns with a new identity: it is a learner until it has the
 * log; then its old identity is removed, then it votes. The old one goes first because between the
 * two changes fewer replicas have to be alive that way round.
 */
final class MemberChanges {
  private MemberChanges() {}

  /**
   * Returns the members with a newcomer as a learner.
   *
   * @return empty if the newcomer is a member, was one, or runs in the leader's own process
   */
  static Optional<ClusterMembers> admit(ClusterMembers members, Member leader, Member newcomer) {
    if (members.find(newcomer.replica()).isPresent()
        || members.retired().contains(newcomer.replica())
        || newcomer.process().equals(leader.process())) {
      return Optional.empty();
    }
    return Optional.of(members.withLearner(newcomer));
  }

  /**
   * Returns the members after the next step.
   *
   * @param caughtUp tells whether a learner has all committed entries on its disk
   * @param silent tells whether a voter has not answered for long
   * @param maximumVoters how many replicas vote at most
   * @return empty if nothing is to be changed
   */
  static Optional<ClusterMembers> next(
      ClusterMembers members,
      Member leader,
      Predicate<Member> caughtUp,
      Predicate<Member> silent,
      int maximumVoters) {
    return members.learners().stream()
        .filter(learner -> !learner.process().equals(leader.process()))
        .filter(caughtUp)
        .findFirst()
        .flatMap(learner -> stepFor(members, learner, silent, maximumVoters));
  }

  private static Optional<ClusterMembers> stepFor(
      ClusterMembers members, Member learner, Predicate<Member> silent, int maximumVoters) {
    Optional<Member> lost = members.voterOf(learner.process());
    if (lost.isPresent()) {
      return lost.map(members::withRetired);
    }
    if (members.voters().size() < maximumVoters) {
      return Optional.of(members.withPromoted(learner));
    }
    return members.voters().stream().filter(silent).findFirst().map(members::withRetired);
  }
}
