package org.verbenawheel.pool;

/** Why a command on pools or hosts was refused. */
public enum PoolRefusalReason {
  /** No host of that name is registered. */
  UNKNOWN_HOST,
  /** No pool of that name is configured. */
  UNKNOWN_POOL,
  /** The pool has its maximum number of hosts, counting those that are moving to it. */
  POOL_FULL,
  /** The host is already registered with a different location or different resources. */
  HOST_EXISTS,
  /** The host changed since the sender read its version. */
  VERSION_CONFLICT,
  /** The host has another activity in progress. */
  HOST_BUSY,
  /** The host is already in the target pool. */
  ALREADY_IN_POOL,
  /** The command is not valid for the host's condition or the activity's kind or phase. */
  NOT_POSSIBLE,
  /** The activity is past the phases in which it can be cancelled and must finish. */
  NOT_CANCELLABLE,
  /** The host has no such activity. */
  UNKNOWN_ACTIVITY,
  /** The settings come from an older configuration than the current settings of the pool. */
  OLDER_CONFIGURATION
}
