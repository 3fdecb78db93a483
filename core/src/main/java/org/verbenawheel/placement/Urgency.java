package org.verbenawheel.placement;

/** How soon a job must start. Sorted from the most to the least urgent. */
public enum Urgency {
  /** The job must start within seconds; interruptible jobs are stopped for it if necessary. */
  URGENT,
  /** The job starts after urgent ones, in order of arrival. */
  NORMAL,
  /** The job starts last, and may be checkpointed and stopped for an urgent one. */
  INTERRUPTIBLE
}
