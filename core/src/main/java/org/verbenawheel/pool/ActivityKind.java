package org.verbenawheel.pool;

import com.google.common.collect.ImmutableList;
import java.time.Instant;
import java.util.Optional;

/**
 * The kinds of activity on a host, each with its ordered phases and its effect on the host's
 * record.
 *
 * <p>A host has at most one activity, so a move, a reboot and a power change never overlap.
 */
public enum ActivityKind {
  /** Moves the host to another pool permanently. */
  MOVE(ActivityPhase.REQUESTED, ActivityPhase.DRAINING, ActivityPhase.RELEASED) {
    @Override
    void applyOutcome(HostRecord.Builder host, Activity activity, Instant stateTime) {
      activity.target().ifPresent(host::pool);
    }
  },
  /** Moves the host to another pool temporarily; a move ends the loan. */
  LEND(ActivityPhase.REQUESTED, ActivityPhase.DRAINING, ActivityPhase.RELEASED) {
    @Override
    void applyOutcome(HostRecord.Builder host, Activity activity, Instant stateTime) {
      activity.target().ifPresent(host::lendTo);
    }
  },
  /** Drains and reboots the host in its current pool and records the maintenance time. */
  MAINTAIN(ActivityPhase.REQUESTED, ActivityPhase.DRAINING, ActivityPhase.REBOOTING) {
    @Override
    void applyOutcome(HostRecord.Builder host, Activity activity, Instant stateTime) {
      host.maintainedAt(stateTime);
    }
  },
  /** Powers the host on. Since this boots the host, it counts as maintenance. */
  POWER_ON(ActivityPhase.REQUESTED, ActivityPhase.POWERING_ON) {
    @Override
    void applyOutcome(HostRecord.Builder host, Activity activity, Instant stateTime) {
      host.condition(HostCondition.IN_SERVICE).maintainedAt(stateTime);
    }
  },
  /** Drains the host and powers it off. */
  POWER_OFF(ActivityPhase.REQUESTED, ActivityPhase.DRAINING, ActivityPhase.POWERING_OFF) {
    @Override
    void applyOutcome(HostRecord.Builder host, Activity activity, Instant stateTime) {
      host.condition(HostCondition.OFF);
    }
  };

  private final ImmutableList<ActivityPhase> phases;

  ActivityKind(ActivityPhase... phases) {
    this.phases = ImmutableList.copyOf(phases);
  }

  /** Returns the phases in order; completing the last one finishes the activity. */
  public ImmutableList<ActivityPhase> phases() {
    return phases;
  }

  /**
   * Returns the phase that follows a given one.
   *
   * @param phase a phase of this kind, or {@link ActivityPhase#RESUMING}
   * @return the next phase; empty if the given one is the last
   */
  public Optional<ActivityPhase> phaseAfter(ActivityPhase phase) {
    int next = phases.indexOf(phase) + 1;
    return next > 0 && next < phases.size() ? Optional.of(phases.get(next)) : Optional.empty();
  }

  /** Returns whether a phase comes after another in the order of this kind. */
  public boolean isLater(ActivityPhase phase, ActivityPhase other) {
    return phases.indexOf(phase) > phases.indexOf(other);
  }

  /** Updates the host's record when an activity of this kind finishes. */
  abstract void applyOutcome(HostRecord.Builder host, Activity activity, Instant stateTime);
}
