package org.verbenawheel.replication;

/** The correct protocol, and faulty variants that {@link ReplicatedListTest} must detect. */
enum Variant {
  /** The protocol without a change. */
  CORRECT,
  /** Acknowledges entries and votes before they are synced to disk. */
  ACKNOWLEDGES_BEFORE_SYNC,
  /** A replica that lost its folder returns with its old identity as a member. */
  LOST_FOLDER_KEEPS_IDENTITY,
  /** Loses its term and vote at a restart. */
  FORGETS_VOTE,
  /** Applies resent commands again. */
  APPLIES_RESENDS,
  /** Answers reads at any node in the leader role, without confirmation by a quorum. */
  READS_WITHOUT_PROOF
}
