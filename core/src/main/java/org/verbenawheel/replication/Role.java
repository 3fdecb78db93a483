package org.verbenawheel.replication;

/** Says what a replica does in its present term. */
public enum Role {
  /** Follows a leader, or waits for one. */
  FOLLOWER,
  /** Asks whether it could win an election, without raising its term. */
  PRE_CANDIDATE,
  /** Asks for votes. */
  CANDIDATE,
  /** Appends commands and tells the others. */
  LEADER
}
