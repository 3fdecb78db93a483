package org.verbenawheel.pool;

import java.util.Optional;
import org.verbenawheel.identity.HostName;
import org.verbenawheel.identity.PoolName;
import org.verbenawheel.pool.PoolReply.Refused;

/**
 * Creates the refusals of commands, with a message that states the cause and what to do. The
 * messages are stored in the replicated state, so they must be the same in all versions that run
 * together.
 */
final class Refusals {
  private Refusals() {}

  static Refused unknownHost(HostName host) {
    return new Refused(
        PoolRefusalReason.UNKNOWN_HOST,
        "no host is named " + host + ": register it or correct the name",
        Optional.empty());
  }

  static Optional<Refused> checkCapacity(PoolName pool, Optional<Integer> freeCapacity) {
    if (freeCapacity.isEmpty()) {
      return Optional.of(
          new Refused(
              PoolRefusalReason.UNKNOWN_POOL,
              "no pool is named " + pool + ": add it to the configuration or correct the name",
              Optional.empty()));
    }
    if (freeCapacity.get() <= 0) {
      return Optional.of(
          new Refused(
              PoolRefusalReason.POOL_FULL,
              "pool " + pool + " is full: raise its maximumHosts or move a host out of it",
              Optional.empty()));
    }
    return Optional.empty();
  }

  static Refused hostExists(HostRecord host) {
    return refused(
        host,
        PoolRefusalReason.HOST_EXISTS,
        "host " + host.host() + " is registered otherwise: retire it first, or correct the name");
  }

  static Refused versionConflict(HostRecord host) {
    return refused(
        host,
        PoolRefusalReason.VERSION_CONFLICT,
        "host "
            + host.host()
            + " changed and is at version "
            + host.version()
            + " now: read it again and decide anew");
  }

  static Refused hostBusy(HostRecord host) {
    return refused(
        host,
        PoolRefusalReason.HOST_BUSY,
        "host " + host.host() + " has another activity: wait for its end or cancel it");
  }

  static Refused alreadyInPool(HostRecord host) {
    return refused(
        host,
        PoolRefusalReason.ALREADY_IN_POOL,
        "host " + host.host() + " is in pool " + host.pool() + " already: nothing to do");
  }

  static Refused notPossible(HostRecord host, String message) {
    return refused(host, PoolRefusalReason.NOT_POSSIBLE, message);
  }

  static Refused notCancellable(HostRecord host) {
    return refused(
        host,
        PoolRefusalReason.NOT_CANCELLABLE,
        "the activity of host "
            + host.host()
            + " has let go of it: wait for its end, then start one that undoes it");
  }

  static Refused unknownActivity(HostRecord host, ActivityId activity) {
    return refused(
        host,
        PoolRefusalReason.UNKNOWN_ACTIVITY,
        "host " + host.host() + " has no activity " + activity + ": read the host again");
  }

  static Refused olderConfiguration(PoolName pool, long currentVersion) {
    return new Refused(
        PoolRefusalReason.OLDER_CONFIGURATION,
        "pool "
            + pool
            + " has its settings from configuration "
            + currentVersion
            + ": send that or newer",
        Optional.empty());
  }

  private static Refused refused(HostRecord host, PoolRefusalReason reason, String message) {
    return new Refused(reason, message, Optional.of(host.version()));
  }
}
