package org.verbenawheel.placement;

/** Says how soon a job must start; the most urgent first. */
public enum Urgency {
  /** The job must start within seconds, in place of interruptible ones if need be. */
  URGENT,
  /** The job starts in its turn. */
  NORMAL,
  /** The job may wait, and may be checkpointed and stopped for an urgent one. */
  INTERRUPTIBLE
}
