package org.verbenawheel.replication;

/**
 * A change of one member that the leader decided.
 *
 * @param reason why it is made
 * @param member the member that is added, promoted or removed
 * @param members the members after the change
 */
record MemberChange(Reason reason, Member member, ClusterMembers members) {

  /** Why a leader changes the members. */
  enum Reason {
    /** A replica that is no member introduced itself and becomes a learner. */
    INTRODUCED,
    /** A learner has the log and takes a free voter place. */
    CAUGHT_UP,
    /** A voter's process runs with a new disk, whose learner has the log. */
    DISK_REPLACED,
    /** A voter's process is being stopped, and a learner stands ready to take its place. */
    VOTER_LEAVING,
    /** A voter has not replied for long, and a learner stands ready to take its place. */
    VOTER_UNRESPONSIVE,
    /** A learner has not replied for long. */
    LEARNER_UNRESPONSIVE
  }
}
