package org.verbenawheel.admission;

/** The class of work: whether it is expected to run within a service's limit for short work. */
public enum WorkLength {
  /** Within the limit, or no run is known yet. */
  SHORT,
  /** Past the limit; such work may hold at most a configured share of the slots. */
  LONG
}
