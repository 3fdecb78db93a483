package org.verbenawheel.platform;

/** Operations that the platform can perform on a host. */
public enum EffectKind {
  /** Stops giving the host new work and waits until its work is done or checkpointed. */
  DRAIN,
  /** Returns a drained host to work. */
  RESUME,
  /** Leases a drained host to another pool, where it takes work. */
  LEASE,
  /** Reboots a drained host; it takes work again afterwards. */
  REBOOT,
  /** Powers the host on; it takes work afterwards. Takes minutes. */
  POWER_ON,
  /** Powers a drained host off. */
  POWER_OFF
}
