package org.verbenawheel.pool;

import java.time.Instant;
import java.util.Optional;
import org.verbenawheel.identity.HostName;
import org.verbenawheel.identity.PoolName;
import org.verbenawheel.platform.Resources;

/**
 * The replicated state of one host. The pool is a single field, so a host is in exactly one pool at
 * any time.
 *
 * @param host the name of the host
 * @param location its failure domains
 * @param resources its total resources
 * @param pool the pool it is in; a moving host is in its old pool until the move is finished
 * @param condition whether it can do work
 * @param version the log index of the command that last changed it
 * @param changedAt the state time of its last change; measurements from before are outdated
 * @param activity the activity in progress, if any
 * @param lastActivity the last activity that ended, by which a late resend is recognized
 * @param lastFailure the last activity that failed because the platform could not perform it
 * @param lentFrom the pool it returns to after a loan; empty unless the capacity decider lent the
 *     host
 * @param lostAt the state time at which it was last marked lost
 * @param maintainedAt the state time at which it last finished a maintenance or was powered on
 */
public record HostRecord(
    HostName host,
    HostLocation location,
    Resources resources,
    PoolName pool,
    HostCondition condition,
    long version,
    Instant changedAt,
    Optional<Activity> activity,
    Optional<ActivityId> lastActivity,
    Optional<ActivityFailure> lastFailure,
    Optional<PoolName> lentFrom,
    Optional<Instant> lostAt,
    Optional<Instant> maintainedAt) {

  /**
   * Returns whether the host accepts new work: it is in service and has no activity, or one that is
   * only requested.
   */
  public boolean takesWork() {
    return condition == HostCondition.IN_SERVICE
        && activity.map(Activity::phase).map(ActivityPhase::takesWork).orElse(true);
  }

  /** Returns a builder initialized with the values of this record. */
  public Builder toBuilder() {
    return new Builder(this);
  }

  /**
   * Returns a builder of a host in service that has never had an activity.
   *
   * @param host the name of the host
   * @param location its failure domains
   * @param resources its total resources
   * @param pool the pool it is in
   */
  public static Builder builder(
      HostName host, HostLocation location, Resources resources, PoolName pool) {
    return new Builder(
        new HostRecord(
            host,
            location,
            resources,
            pool,
            HostCondition.IN_SERVICE,
            0,
            Instant.EPOCH,
            Optional.empty(),
            Optional.empty(),
            Optional.empty(),
            Optional.empty(),
            Optional.empty(),
            Optional.empty()));
  }

  /** Builds a host record from an earlier one. */
  public static final class Builder {
    private final HostRecord base;
    private PoolName pool;
    private HostCondition condition;
    private long version;
    private Instant changedAt;
    private Optional<Activity> activity;
    private Optional<ActivityId> lastActivity;
    private Optional<ActivityFailure> lastFailure;
    private Optional<PoolName> lentFrom;
    private Optional<Instant> lostAt;
    private Optional<Instant> maintainedAt;

    private Builder(HostRecord base) {
      this.base = base;
      this.pool = base.pool;
      this.condition = base.condition;
      this.version = base.version;
      this.changedAt = base.changedAt;
      this.activity = base.activity;
      this.lastActivity = base.lastActivity;
      this.lastFailure = base.lastFailure;
      this.lentFrom = base.lentFrom;
      this.lostAt = base.lostAt;
      this.maintainedAt = base.maintainedAt;
    }

    /** Moves the host to a pool permanently: sets {@link HostRecord#pool} and ends any loan. */
    public Builder pool(PoolName value) {
      pool = value;
      lentFrom = Optional.empty();
      return this;
    }

    /**
     * Lends the host to a pool: sets {@link HostRecord#pool}, and {@link HostRecord#lentFrom} to
     * the previous pool unless the host is already lent.
     */
    public Builder lendTo(PoolName value) {
      lentFrom = Optional.of(lentFrom.orElse(pool));
      pool = value;
      return this;
    }

    /** Sets {@link HostRecord#condition}. */
    public Builder condition(HostCondition value) {
      condition = value;
      return this;
    }

    /** Sets {@link HostRecord#condition} to {@code LOST}, and {@link HostRecord#lostAt}. */
    public Builder markLost(Instant at) {
      condition = HostCondition.LOST;
      lostAt = Optional.of(at);
      return this;
    }

    /** Sets {@link HostRecord#version} and {@link HostRecord#changedAt}. */
    public Builder markChanged(long index, Instant at) {
      version = index;
      changedAt = at;
      return this;
    }

    /** Sets {@link HostRecord#activity}. */
    public Builder activity(Activity value) {
      activity = Optional.of(value);
      return this;
    }

    /** Clears the activity and keeps its ID as {@link HostRecord#lastActivity}. */
    public Builder endActivity() {
      lastActivity = activity.map(Activity::id);
      activity = Optional.empty();
      return this;
    }

    /** Sets {@link HostRecord#lastFailure}. */
    public Builder lastFailure(ActivityFailure value) {
      lastFailure = Optional.of(value);
      return this;
    }

    /** Sets {@link HostRecord#maintainedAt}. */
    public Builder maintainedAt(Instant value) {
      maintainedAt = Optional.of(value);
      return this;
    }

    /** Returns the record. */
    public HostRecord build() {
      return new HostRecord(
          base.host,
          base.location,
          base.resources,
          pool,
          condition,
          version,
          changedAt,
          activity,
          lastActivity,
          lastFailure,
          lentFrom,
          lostAt,
          maintainedAt);
    }
  }
}
