package org.verbenawheel.replication;

/** The chosen way and the naive ways that the differential test must tell from it. */
enum Variant {
  /** As the product does it. */
  CHOSEN,
  /** Acknowledges and votes before the disk has it. */
  ACKNOWLEDGES_BEFORE_SYNC,
  /** A lost folder comes back as the member that it was. */
  LOST_FOLDER_KEEPS_IDENTITY,
  /** Forgets its term and vote at a restart. */
  FORGETS_VOTE,
  /** Applies a resent command again. */
  APPLIES_RESENDS,
  /** Answers reads wherever the last leader stands. */
  READS_WITHOUT_PROOF
}
