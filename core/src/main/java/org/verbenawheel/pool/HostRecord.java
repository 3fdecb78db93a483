package org.verbenawheel.pool;

import java.time.Instant;
import java.util.Optional;
import org.verbenawheel.identity.HostName;
import org.verbenawheel.identity.PoolName;

/**
 * Everything the replicated state knows of one host. Its pool is a single field, so that a host is
 * in exactly one pool at any moment.
 *
 * @param host the host
 * @param location its failure domains
 * @param resources what it offers
 * @param pool the pool it is in; a moving host is in its old pool until the move is finished
 * @param condition whether it does work
 * @param version the log index of its last change
 * @param activity what is being done to it
 * @param lastActivity the last activity that ended, so that a late resend is known
 * @param maintainedAt when it was last maintained
 */
public record HostRecord(
    HostName host,
    HostLocation location,
    Resources resources,
    PoolName pool,
    HostCondition condition,
    long version,
    Optional<Activity> activity,
    Optional<ActivityId> lastActivity,
    Optional<Instant> maintainedAt) {

  /** Returns whether the host takes new work: in service and not past the start of an activity. */
  public boolean takesWork() {
    return condition == HostCondition.IN_SERVICE
        && activity.map(Activity::phase).map(ActivityPhase::takesWork).orElse(true);
  }

  HostRecord withPool(PoolName newPool) {
    return copy(newPool, condition, version, activity, lastActivity, maintainedAt);
  }

  HostRecord withCondition(HostCondition newCondition) {
    return copy(pool, newCondition, version, activity, lastActivity, maintainedAt);
  }

  HostRecord withVersion(long newVersion) {
    return copy(pool, condition, newVersion, activity, lastActivity, maintainedAt);
  }

  HostRecord withActivity(Activity newActivity) {
    return copy(pool, condition, version, Optional.of(newActivity), lastActivity, maintainedAt);
  }

  HostRecord withActivityEnded(ActivityId ended) {
    return copy(pool, condition, version, Optional.empty(), Optional.of(ended), maintainedAt);
  }

  HostRecord withMaintainedAt(Instant moment) {
    return copy(pool, condition, version, activity, lastActivity, Optional.of(moment));
  }

  private HostRecord copy(
      PoolName newPool,
      HostCondition newCondition,
      long newVersion,
      Optional<Activity> newActivity,
      Optional<ActivityId> newLastActivity,
      Optional<Instant> newMaintainedAt) {
    return new HostRecord(
        host,
        location,
        resources,
        newPool,
        newCondition,
        newVersion,
        newActivity,
        newLastActivity,
        newMaintainedAt);
  }
}
