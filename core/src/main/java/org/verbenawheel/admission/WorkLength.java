package org.verbenawheel.admission;

/** Says whether work is expected to run within a service's limit for short work. */
public enum WorkLength {
  /** Within the limit, or nothing is known yet. */
  SHORT,
  /** Past the limit: such work holds at most a share of the slots. */
  LONG
}
