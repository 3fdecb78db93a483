package org.verbenawheel.replication;

/** The part of a replica in its cluster. */
public enum Membership {
  /** It votes and counts towards a commit. */
  VOTER,
  /** It receives the log and does not vote. */
  LEARNER,
  /** It is no member, or has joined no cluster yet. */
  NONE
}
