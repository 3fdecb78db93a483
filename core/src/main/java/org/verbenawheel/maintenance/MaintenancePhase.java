package org.verbenawheel.maintenance;

/** Whether maintenance is idle, running or halted. */
public enum MaintenancePhase {
  /** No operator has started maintenance. */
  IDLE,
  /** Waves are planned and carried out. */
  RUNNING,
  /** No host is taken out of service until an operator resumes or restarts maintenance. */
  HALTED
}
