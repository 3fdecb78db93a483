package org.verbenawheel.configuration;

/** Says what a pool's hosts are for. */
public enum PoolRole {
  /** The hosts run services that callers ask. */
  SERVING,
  /** The hosts are in reserve: off unless a service's availability budget needs them. */
  SPARE
}
