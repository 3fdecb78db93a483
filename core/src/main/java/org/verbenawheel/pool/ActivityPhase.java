package org.verbenawheel.pool;

/** The phases of activities. Each is entered by a separate committed command. */
public enum ActivityPhase {
  /** The activity was accepted; no platform operation has been requested yet. */
  REQUESTED(true),
  /** The host accepts no new work and finishes or checkpoints its current work. */
  DRAINING(true),
  /** The host is drained and released by its old pool; the platform leases it to the target. */
  RELEASED(false),
  /** The host reboots, which applies its maintenance. */
  REBOOTING(false),
  /** The host is being powered on. */
  POWERING_ON(false),
  /** The host is being powered off. */
  POWERING_OFF(false),
  /** The activity was cancelled while the host drained; the host returns to service. */
  RESUMING(false);

  private final boolean cancellable;

  ActivityPhase(boolean cancellable) {
    this.cancellable = cancellable;
  }

  /** Returns whether the activity can be cancelled in this phase. */
  public boolean isCancellable() {
    return cancellable;
  }

  /** Returns whether the host accepts new work in this phase. */
  public boolean takesWork() {
    return this == REQUESTED;
  }
}
