package org.verbenawheel.replication;

/** The role of a replica in its current term. */
public enum Role {
  /** Follows a leader or waits for one. */
  FOLLOWER,
  /** Requests pre-votes: asks whether it could win an election, without raising its term. */
  PRE_CANDIDATE,
  /** Requests votes in its term. */
  CANDIDATE,
  /** Appends commands and replicates them to the other members. */
  LEADER
}
