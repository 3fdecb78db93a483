package org.verbenawheel.maintenance;

/** Says whether maintenance goes on. */
public enum MaintenancePhase {
  /** No operator has started it. */
  IDLE,
  /** Waves are planned and carried out. */
  RUNNING,
  /** No host is taken out until an operator resumes it. */
  HALTED
}
