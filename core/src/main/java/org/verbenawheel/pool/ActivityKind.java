package org.verbenawheel.pool;

import com.google.common.collect.ImmutableList;
import java.time.Instant;
import java.util.Optional;

/**
 * Names what may be done to a host, and gives for each the phases in their order and the outcome.
 *
 * <p>A host is in one activity at most, so a move, a reboot and a change of power never meet.
 */
public enum ActivityKind {
  /** Moves the host to another pool. */
  MOVE(ActivityPhase.REQUESTED, ActivityPhase.DRAINING, ActivityPhase.RELEASED) {
    @Override
    void finish(HostRecord.Builder host, Activity activity, Instant stateTime) {
      activity.target().ifPresent(host::pool);
    }
  },
  /** Moves the host to another pool for a time; a move back ends the loan. */
  LEND(ActivityPhase.REQUESTED, ActivityPhase.DRAINING, ActivityPhase.RELEASED) {
    @Override
    void finish(HostRecord.Builder host, Activity activity, Instant stateTime) {
      activity.target().ifPresent(host::lentTo);
    }
  },
  /** Drains and reboots the host where it is, and notes when. */
  MAINTAIN(ActivityPhase.REQUESTED, ActivityPhase.DRAINING, ActivityPhase.REBOOTING) {
    @Override
    void finish(HostRecord.Builder host, Activity activity, Instant stateTime) {
      host.maintainedAt(stateTime);
    }
  },
  /** Powers the host on; booting from off counts as maintenance. */
  POWER_ON(ActivityPhase.REQUESTED, ActivityPhase.POWERING_ON) {
    @Override
    void finish(HostRecord.Builder host, Activity activity, Instant stateTime) {
      host.condition(HostCondition.IN_SERVICE).maintainedAt(stateTime);
    }
  },
  /** Drains the host and powers it off. */
  POWER_OFF(ActivityPhase.REQUESTED, ActivityPhase.DRAINING, ActivityPhase.POWERING_OFF) {
    @Override
    void finish(HostRecord.Builder host, Activity activity, Instant stateTime) {
      host.condition(HostCondition.OFF);
    }
  };

  private final ImmutableList<ActivityPhase> phases;

  ActivityKind(ActivityPhase... phases) {
    this.phases = ImmutableList.copyOf(phases);
  }

  /** Returns the phases in their order; after the last one the activity is finished. */
  public ImmutableList<ActivityPhase> phases() {
    return phases;
  }

  /**
   * Returns the phase after another.
   *
   * @param phase a phase of this kind, or {@link ActivityPhase#RESUMING}
   * @return the next phase; empty if the activity is over after this one
   */
  public Optional<ActivityPhase> phaseAfter(ActivityPhase phase) {
    int next = phases.indexOf(phase) + 1;
    return next > 0 && next < phases.size() ? Optional.of(phases.get(next)) : Optional.empty();
  }

  /**
   * Returns whether a phase comes later than another.
   *
   * @param phase the phase in question
   * @param other the phase that it is compared with
   */
  public boolean isLater(ActivityPhase phase, ActivityPhase other) {
    return phases.indexOf(phase) > phases.indexOf(other);
  }

  abstract void finish(HostRecord.Builder host, Activity activity, Instant stateTime);
}
