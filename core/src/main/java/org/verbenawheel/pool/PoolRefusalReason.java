package org.verbenawheel.pool;

/** Says why a command on pools was refused. */
public enum PoolRefusalReason {
  /** No host of that name is registered. */
  UNKNOWN_HOST,
  /** No pool of that name is configured. */
  UNKNOWN_POOL,
  /** The pool holds as many hosts as it may, with those on their way to it. */
  POOL_FULL,
  /** The host is registered already, with other particulars. */
  HOST_EXISTS,
  /** The host changed since the sender read its version. */
  VERSION_CONFLICT,
  /** Another activity of the host is under way. */
  HOST_BUSY,
  /** The host is in that pool already. */
  ALREADY_IN_POOL,
  /** The command does not fit the host's condition or the kind of activity. */
  NOT_POSSIBLE,
  /** The activity has let go of the host and must be finished. */
  NOT_CANCELLABLE,
  /** The host has no such activity. */
  UNKNOWN_ACTIVITY,
  /** The settings come from an older configuration than the present ones. */
  OLDER_CONFIGURATION
}
