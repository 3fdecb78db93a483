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
   * @return empty if nothing is to be changed
   */
  static Optional<ClusterMembers> next(
      ClusterMembers members, Member leader, Predicate<Member> caughtUp) {
    return members.learners().stream()
        .filter(learner -> !learner.process().equals(leader.process()))
        .filter(caughtUp)
        .findFirst()
        .map(learner -> stepFor(members, learner));
  }

  private static ClusterMembers stepFor(ClusterMembers members, Member learner) {
    return members
        .voterOf(learner.process())
        .map(members::withRetired)
        .orElseGet(() -> members.withPromoted(learner));
  }
}
