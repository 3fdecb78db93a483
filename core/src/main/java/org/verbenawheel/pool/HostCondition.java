package org.verbenawheel.pool;

/** Whether a host that has no activity can do work. */
public enum HostCondition {
  /** The host is powered on and accepts work. */
  IN_SERVICE,
  /** The host is powered off on purpose. */
  OFF,
  /** The host failed; it accepts no work until it is reported in service again. */
  LOST
}
