package org.verbenawheel.pool;

import java.util.Optional;
import org.verbenawheel.platform.EffectKind;
import org.verbenawheel.platform.HostOperation;
import org.verbenawheel.platform.OperationId;

/**
 * Derives the platform's part of an activity's phase. The same phase gives the same operation on
 * every leader, so that resending it after a crash never does it twice.
 */
public final class ActivityEffects {
  private ActivityEffects() {}

  /**
   * Returns the operation that the platform has to do in the present phase.
   *
   * @param host a host
   * @return the operation; empty if the host is in no activity or its phase needs none
   */
  public static Optional<HostOperation> operation(HostRecord host) {
    return host.activity()
        .flatMap(activity -> effect(activity.phase()).map(kind -> build(host, activity, kind)));
  }

  private static Optional<EffectKind> effect(ActivityPhase phase) {
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

  private static HostOperation build(HostRecord host, Activity activity, EffectKind kind) {
    OperationId id = new OperationId(activity.id() + ":" + kind.name());
    return new HostOperation(id, host.host(), kind, activity.target(), activity.phaseIndex());
  }
}
