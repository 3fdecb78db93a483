package org.verbenawheel.replication;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.Comparator;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.Predicate;
import org.verbenawheel.replication.MemberChange.Reason;

/**
 * Decides the membership changes of a cluster, at most one voter per change.
 *
 * <p>A replica that lost its folder returns with a new identity. It is a learner until it has the
 * log; then its old identity is removed; then it becomes a voter. The old identity is removed first
 * because this order needs fewer running replicas for a quorum between the two changes.
 *
 * <p>A replica that was removed because it was silent still has its identity, and with it its term,
 * its vote and its log. It is the same server and may become a learner, then a voter, again. While
 * it does not know of its removal it cannot win an election: a quorum without it has the entry that
 * removed it, and that quorum overlaps every quorum of the members that it knows.
 */
final class MemberChanges {
  private final ClusterRules rules;
  private final ClusterMembers members;
  private final Member leader;
  private final Predicate<Member> isLeaving;

  /**
   * Creates the decisions for the members in force.
   *
   * @param rules how many replicas vote, and how long a member may be silent
   * @param members the members in force
   * @param leader the replica that decides
   * @param isLeaving whether a member has announced that it leaves
   */
  MemberChanges(
      ClusterRules rules, ClusterMembers members, Member leader, Predicate<Member> isLeaving) {
    this.isLeaving = isLeaving;
    this.rules = rules;
    this.members = members;
    this.leader = leader;
  }

  /**
   * Adds a replica as a learner.
   *
   * @return empty if it is a member, has had its disk replaced, or runs in the leader's own process
   */
  Optional<MemberChange> admit(Member newcomer) {
    if (members.find(newcomer.replica()).isPresent()
        || members.retired().contains(newcomer.replica())
        || newcomer.process().equals(leader.process())) {
      return Optional.empty();
    }
    return Optional.of(
        new MemberChange(Reason.INTRODUCED, newcomer, members.withLearner(newcomer)));
  }

  /**
   * Returns the next change: a learner that is ready fills a free voter place, replaces the voter
   * of its own process, or replaces a voter that leaves or is unresponsive; an unresponsive learner
   * is removed.
   *
   * @param isReady whether a learner replies and has all committed entries on its disk
   * @param silence how long a member has not replied
   * @return empty if no change is due
   */
  Optional<MemberChange> next(Predicate<Member> isReady, Function<Member, Duration> silence) {
    ImmutableList<Member> ready =
        members.learners().stream()
            .filter(learner -> !learner.process().equals(leader.process()))
            .filter(isReady)
            .filter(learner -> !isLeaving.test(learner))
            .collect(ImmutableList.toImmutableList());
    return promotion(ready)
        .or(() -> retirement(ready))
        .or(() -> replacement(ready, silence))
        .or(() -> removal(silence));
  }

  private Optional<MemberChange> promotion(ImmutableList<Member> ready) {
    if (members.voters().size() >= rules.maximumVoters()) {
      return Optional.empty();
    }
    return ready.stream()
        .filter(learner -> members.voterOf(learner.process()).isEmpty())
        .findFirst()
        .map(learner -> new MemberChange(Reason.CAUGHT_UP, learner, members.withPromoted(learner)));
  }

  private Optional<MemberChange> retirement(ImmutableList<Member> ready) {
    return ready.stream()
        .flatMap(learner -> members.voterOf(learner.process()).stream())
        .findFirst()
        .map(voter -> new MemberChange(Reason.DISK_REPLACED, voter, members.withRetired(voter)));
  }

  private Optional<MemberChange> replacement(
      ImmutableList<Member> ready, Function<Member, Duration> silence) {
    if (ready.isEmpty()) {
      return Optional.empty();
    }
    return members.voters().stream()
        .filter(isLeaving)
        .findFirst()
        .map(voter -> new MemberChange(Reason.VOTER_LEAVING, voter, members.withoutVoter(voter)))
        .or(
            () ->
                longestUnresponsive(members.voters(), silence)
                    .map(
                        voter ->
                            new MemberChange(
                                Reason.VOTER_UNRESPONSIVE, voter, members.withoutVoter(voter))));
  }

  private Optional<MemberChange> removal(Function<Member, Duration> silence) {
    return longestUnresponsive(members.learners(), silence)
        .map(
            learner ->
                new MemberChange(
                    Reason.LEARNER_UNRESPONSIVE, learner, members.withoutLearner(learner)));
  }

  private Optional<Member> longestUnresponsive(
      ImmutableList<Member> candidates, Function<Member, Duration> silence) {
    return candidates.stream()
        .filter(member -> !member.equals(leader))
        .filter(member -> silence.apply(member).compareTo(rules.unresponsiveTimeout()) > 0)
        .max(Comparator.comparing(silence));
  }
}
