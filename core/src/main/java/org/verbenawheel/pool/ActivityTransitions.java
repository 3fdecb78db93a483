package org.verbenawheel.pool;

import java.util.Optional;
import java.util.function.Function;
import org.verbenawheel.identity.PoolName;
import org.verbenawheel.pool.PoolCommand.AdvanceActivity;
import org.verbenawheel.pool.PoolCommand.CancelActivity;
import org.verbenawheel.pool.PoolCommand.FailActivity;
import org.verbenawheel.pool.PoolCommand.ReportCondition;
import org.verbenawheel.pool.PoolCommand.StartActivity;
import org.verbenawheel.pool.PoolReply.HostChanged;
import org.verbenawheel.replication.ApplyContext;

/**
 * Computes the effect of a command on a host's activity or condition: the changed host, or a
 * refusal.
 *
 * <p>A resend of a command that already took effect is answered with the unchanged host. This is
 * checked before the version, because the first send changed the version.
 */
final class ActivityTransitions {
  private final Function<PoolName, Optional<Integer>> freeCapacity;
  private final ApplyContext context;

  ActivityTransitions(Function<PoolName, Optional<Integer>> freeCapacity, ApplyContext context) {
    this.freeCapacity = freeCapacity;
    this.context = context;
  }

  PoolReply start(HostRecord host, StartActivity command) {
    if (isCurrent(host, command.activityId()) || hasEnded(host, command.activityId())) {
      return new HostChanged(host);
    }
    if (host.version() != command.expectedVersion()) {
      return Refusals.versionConflict(host);
    }
    if (host.activity().isPresent()) {
      return Refusals.hostBusy(host);
    }
    Optional<PoolReply.Refused> refusal = refuseStart(host, command);
    if (refusal.isPresent()) {
      return refusal.get();
    }
    Activity activity =
        new Activity(
            command.activityId(),
            command.kind(),
            ActivityPhase.REQUESTED,
            command.target(),
            context.index());
    return changedReply(host.toBuilder().activity(activity));
  }

  PoolReply advance(HostRecord host, AdvanceActivity command) {
    if (hasEnded(host, command.activityId())) {
      return new HostChanged(host);
    }
    if (!isCurrent(host, command.activityId())) {
      return Refusals.unknownActivity(host, command.activityId());
    }
    Activity activity = host.activity().orElseThrow();
    if (isPhaseCompleted(activity, command.completed())) {
      return new HostChanged(host);
    }
    if (host.version() != command.expectedVersion()) {
      return Refusals.versionConflict(host);
    }
    if (activity.phase() != command.completed()) {
      return Refusals.notPossible(
          host,
          "the activity is in phase " + activity.phase() + ": only that phase can be completed");
    }
    return changedReply(afterPhase(host, activity));
  }

  PoolReply cancel(HostRecord host, CancelActivity command) {
    if (hasEnded(host, command.activityId())) {
      return new HostChanged(host);
    }
    if (!isCurrent(host, command.activityId())) {
      return Refusals.unknownActivity(host, command.activityId());
    }
    Activity activity = host.activity().orElseThrow();
    if (activity.phase() == ActivityPhase.RESUMING) {
      return new HostChanged(host);
    }
    if (host.version() != command.expectedVersion()) {
      return Refusals.versionConflict(host);
    }
    if (!activity.phase().isCancellable()) {
      return Refusals.notCancellable(host);
    }
    return changedReply(afterCancellation(host, activity));
  }

  PoolReply fail(HostRecord host, FailActivity command) {
    if (hasEnded(host, command.activityId())) {
      return new HostChanged(host);
    }
    if (!isCurrent(host, command.activityId())) {
      return Refusals.unknownActivity(host, command.activityId());
    }
    if (host.version() != command.expectedVersion()) {
      return Refusals.versionConflict(host);
    }
    return changedReply(
        host.toBuilder()
            .endActivity()
            .markLost(context.stateTime())
            .lastFailure(failure(host, command)));
  }

  PoolReply reportCondition(HostRecord host, ReportCondition command) {
    if (host.condition() == command.condition()) {
      return new HostChanged(host);
    }
    if (host.version() != command.expectedVersion()) {
      return Refusals.versionConflict(host);
    }
    if (host.activity().isPresent()) {
      return Refusals.hostBusy(host);
    }
    HostRecord.Builder reported = host.toBuilder().condition(command.condition());
    return changedReply(
        command.condition() == HostCondition.LOST
            ? reported.markLost(context.stateTime())
            : reported);
  }

  private Optional<PoolReply.Refused> refuseStart(HostRecord host, StartActivity command) {
    return switch (command.kind()) {
      case MOVE, LEND -> refuseMove(host, command);
      case MAINTAIN, POWER_OFF -> requireCondition(host, HostCondition.IN_SERVICE);
      case POWER_ON -> requireCondition(host, HostCondition.OFF);
    };
  }

  private Optional<PoolReply.Refused> refuseMove(HostRecord host, StartActivity command) {
    if (command.target().isEmpty()) {
      return Optional.of(Refusals.notPossible(host, "a move needs a target pool: name one"));
    }
    PoolName target = command.target().get();
    if (host.pool().equals(target)) {
      return Optional.of(Refusals.alreadyInPool(host));
    }
    return Refusals.checkCapacity(target, freeCapacity.apply(target));
  }

  private static Optional<PoolReply.Refused> requireCondition(
      HostRecord host, HostCondition condition) {
    if (host.condition() == condition) {
      return Optional.empty();
    }
    return Optional.of(
        Refusals.notPossible(
            host,
            "host "
                + host.host()
                + " is "
                + host.condition()
                + ": this activity needs a host that is "
                + condition));
  }

  private HostRecord.Builder afterPhase(HostRecord host, Activity activity) {
    if (activity.phase() == ActivityPhase.RESUMING) {
      return host.toBuilder().endActivity();
    }
    return activity
        .kind()
        .phaseAfter(activity.phase())
        .map(next -> host.toBuilder().activity(activity.withPhase(next, context.index())))
        .orElseGet(() -> afterLastPhase(host, activity));
  }

  private HostRecord.Builder afterLastPhase(HostRecord host, Activity activity) {
    HostRecord.Builder builder = host.toBuilder().endActivity();
    activity.kind().applyOutcome(builder, activity, context.stateTime());
    return builder;
  }

  private HostRecord.Builder afterCancellation(HostRecord host, Activity activity) {
    if (activity.phase() == ActivityPhase.REQUESTED) {
      return host.toBuilder().endActivity();
    }
    return host.toBuilder().activity(activity.withPhase(ActivityPhase.RESUMING, context.index()));
  }

  private ActivityFailure failure(HostRecord host, FailActivity command) {
    ActivityKind kind = host.activity().orElseThrow().kind();
    return new ActivityFailure(kind, command.reason(), context.stateTime());
  }

  private HostChanged changedReply(HostRecord.Builder host) {
    return new HostChanged(host.markChanged(context.index(), context.stateTime()).build());
  }

  private static boolean isCurrent(HostRecord host, ActivityId id) {
    return host.activity().map(Activity::id).filter(id::equals).isPresent();
  }

  private static boolean hasEnded(HostRecord host, ActivityId id) {
    return host.lastActivity().filter(id::equals).isPresent();
  }

  private static boolean isPhaseCompleted(Activity activity, ActivityPhase completed) {
    return activity.phase() == ActivityPhase.RESUMING
        ? completed != ActivityPhase.RESUMING
        : activity.kind().isLater(activity.phase(), completed);
  }
}
