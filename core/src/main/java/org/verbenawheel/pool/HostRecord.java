package org.verbenawheel.pool;

import java.time.Instant;
import java.util.Optional;
import org.verbenawheel.identity.HostName;
import org.verbenawheel.identity.PoolName;
import org.verbenawheel.platform.Resources;

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
 * @param changedAt the state time of its last change; what was observed before is out of date
 * @param activity what is being done to it
 * @param lastActivity the last activity that ended, so that a late resend is known
 * @param lastFailure the last activity that the platform could not do
 * @param lentFrom the pool that it goes back to; empty unless capacity lent it
 * @param lostAt when it was last lost
 * @param maintainedAt when it was last maintained
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

  /** Returns whether the host takes new work: in service and not past the start of an activity. */
  public boolean takesWork() {
    return condition == HostCondition.IN_SERVICE
        && activity.map(Activity::phase).map(ActivityPhase::takesWork).orElse(true);
  }

  /** Returns a builder that starts from this record. */
  public Builder toBuilder() {
    return new Builder(this);
  }

  /**
   * Returns a builder of a host that was never in an activity.
   *
   * @param host the host
   * @param location its failure domains
   * @param resources what it offers
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

  /** Builds a record of a host. */
  public static final class Builder {
    private final HostRecord start;
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

    private Builder(HostRecord start) {
      this.start = start;
      this.pool = start.pool;
      this.condition = start.condition;
      this.version = start.version;
      this.changedAt = start.changedAt;
      this.activity = start.activity;
      this.lastActivity = start.lastActivity;
      this.lastFailure = start.lastFailure;
      this.lentFrom = start.lentFrom;
      this.lostAt = start.lostAt;
      this.maintainedAt = start.maintainedAt;
    }

    /** Sets {@link HostRecord#pool}, for good. */
    public Builder pool(PoolName value) {
      pool = value;
      lentFrom = Optional.empty();
      return this;
    }

    /** Sets {@link HostRecord#pool} for a time: the pool it is lent from stays its home. */
    public Builder lentTo(PoolName value) {
      lentFrom = Optional.of(lentFrom.orElse(pool));
      pool = value;
      return this;
    }

    /** Sets {@link HostRecord#condition}. */
    public Builder condition(HostCondition value) {
      condition = value;
      return this;
    }

    /** Sets {@link HostRecord#condition} to lost, and {@link HostRecord#lostAt}. */
    public Builder lost(Instant at) {
      condition = HostCondition.LOST;
      lostAt = Optional.of(at);
      return this;
    }

    /** Sets {@link HostRecord#version} and {@link HostRecord#changedAt}. */
    public Builder changed(long index, Instant at) {
      version = index;
      changedAt = at;
      return this;
    }

    /** Sets {@link HostRecord#activity}. */
    public Builder activity(Activity value) {
      activity = Optional.of(value);
      return this;
    }

    /** Ends the activity and keeps its identity as {@link HostRecord#lastActivity}. */
    public Builder activityEnded() {
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

    /** Builds the record. */
    public HostRecord build() {
      return new HostRecord(
          start.host,
          start.location,
          start.resources,
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
