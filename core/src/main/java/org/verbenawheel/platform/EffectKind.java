package org.verbenawheel.platform;

/** Names what the platform can do to a host. */
public enum EffectKind {
  /** Gives the host no new work and waits until what it has is done or checkpointed. */
  DRAIN,
  /** Gives a drained host work again. */
  RESUME,
  /** Leases a drained host to a pool and gives it work there. */
  LEASE,
  /** Reboots a drained host; it takes work again afterwards. */
  REBOOT,
  /** Powers the host on; it takes work afterwards. Takes minutes. */
  POWER_ON,
  /** Powers a drained host off. */
  POWER_OFF
}
