package org.verbenawheel.placement;

/** Says why a job was refused. */
public enum PlacementRefusalReason {
  /** No worker is large enough, even when it is empty. */
  LARGER_THAN_ANY_WORKER,
  /** The job asks for more than its team may use in all. */
  LARGER_THAN_QUOTA,
  /** The job failed on several workers. */
  FAILS_EVERYWHERE,
  /** A job of that identity is known already. */
  DUPLICATE
}
