package org.verbenawheel.pool;

/** Says whether a host that is in no activity does work. */
public enum HostCondition {
  /** The host is powered and takes work. */
  IN_SERVICE,
  /** The host is powered off on purpose. */
  OFF,
  /** The host failed; it takes no work until it is reported in service again. */
  LOST
}
