package org.verbenawheel.placement;

/** Why a job was refused. */
public enum PlacementRefusalReason {
  /** No worker of the pool could hold the job, even when empty. */
  LARGER_THAN_ANY_WORKER,
  /** The job asks for more than the whole quota of its team. */
  LARGER_THAN_QUOTA,
  /** The job's runs failed as many times as the limit of attempts. */
  FAILS_EVERYWHERE,
  /** A job with that id waits or runs already. */
  DUPLICATE
}
