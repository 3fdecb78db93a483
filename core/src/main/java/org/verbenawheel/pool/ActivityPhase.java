package org.verbenawheel.pool;

/** Names the phases of activities. Each is entered by a committed command of its own. */
public enum ActivityPhase {
  /** The activity was accepted; nothing was done to the host yet. */
  REQUESTED(true),
  /** The host takes no new work and ends what it has. */
  DRAINING(true),
  /** The host holds no work; its old pool has let go of it. */
  RELEASED(false),
  /** The host reboots into its maintained form. */
  REBOOTING(false),
  /** The host is being powered on. */
  POWERING_ON(false),
  /** The host is being powered off. */
  POWERING_OFF(false),
  /** The activity was cancelled while the host drained; the host is put back into service. */
  RESUMING(false);

  private final boolean cancellable;

  ActivityPhase(boolean cancellable) {
    this.cancellable = cancellable;
  }

  /** Returns whether the activity may still be cancelled. */
  public boolean isCancellable() {
    return cancellable;
  }

  /** Returns whether the host takes new work in this phase. */
  public boolean takesWork() {
    return this == REQUESTED;
  }
}
