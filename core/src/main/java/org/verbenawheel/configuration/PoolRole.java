package org.verbenawheel.configuration;

/** The purpose of a pool's hosts. */
public enum PoolRole {
  /** The hosts run services for callers. */
  SERVING,
  /**
   * The hosts are a reserve, powered off unless a service needs them for its availability budget.
   */
  SPARE
}
