package org.verbenawheel.pool;

import java.util.Optional;
import org.verbenawheel.platform.EffectKind;
import org.verbenawheel.platform.HostOperation;
import org.verbenawheel.platform.OperationId;

/**
 * Derives the platform operation of an activity's current phase. Every leader derives the same
 * operation with the same ID from the same phase, so the platform can ignore a resend after a
 * crash.
 */
public final class ActivityEffects {
  private ActivityEffects() {}

  /**
   * Returns the platform operation that the host's current phase needs.
   *
   * @param host the host as the replicated state holds it
   * @return the operation; empty if the host has no activity or its phase needs no operation
   */
  public static Optional<HostOperation> operation(HostRecord host) {
    return host.activity()
        .flatMap(
            activity ->
                effectKind(activity.phase()).map(kind -> toOperation(host, activity, kind)));
  }

  private static Optional<EffectKind> effectKind(ActivityPhase phase) {
    return switch (phase) {
      case REQUESTED -> Optional.empty();
      case DRAINING -> Optional.of(EffectKind.DRAIN);
      case RELEASED -> Optional.of(EffectKind.LEASE);
      case REBOOTING -> Optional.of(EffectKind.REBOOT);
      case POWERING_ON -> Optional.of(EffectKind.POWER_ON);
      case POWERING_OFF -> Optional.of(EffectKind.POWER_OFF);
      case RESUMING -> Optional.of(EffectKind.RESUME);
    };
  }

  private static HostOperation toOperation(HostRecord host, Activity activity, EffectKind kind) {
    OperationId id = new OperationId(activity.id() + ":" + kind.name());
    return new HostOperation(id, host.host(), kind, activity.target(), activity.phaseIndex());
  }
}
