package org.verbenawheel.pool;

import com.google.common.collect.ImmutableList;
import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.verbenawheel.event.Event;
import org.verbenawheel.event.EventLine;
import org.verbenawheel.platform.HostOperation;
import org.verbenawheel.platform.OperationReport;
import org.verbenawheel.platform.Platform;
import org.verbenawheel.platform.PlatformException;
import org.verbenawheel.platform.UsageBoard;
import org.verbenawheel.pool.PoolCommand.AdvanceActivity;
import org.verbenawheel.pool.PoolCommand.FailActivity;
import org.verbenawheel.replication.CommandEnvelope;
import org.verbenawheel.replication.CommandLog;
import org.verbenawheel.replication.CommandReply;
import org.verbenawheel.replication.ControlCommand;

/**
 * Runs activities of hosts on the leader: commits the commands of the deciders, then for each
 * activity requests the platform operation of its current phase and commits the phase's completion.
 *
 * <p>A phase is in the replicated state before its platform operation is requested, and the
 * operation's ID is derived from the activity and the phase. If the leader stops between any two
 * steps, the next leader resends the same operation from the replicated state, and the platform
 * performs it only once.
 */
public final class ActivityController {
  /** No step starts unless more than this is left of the leader lease. */
  public static final Duration LEASE_MARGIN = Duration.ofSeconds(1);

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Duration COMMIT_TIMEOUT = Duration.ofSeconds(5);

  private final PoolState state;
  private final ImmutableList<FleetDecider> deciders;
  private final Leadership leadership;
  private final CommandLog log;
  private final Platform platform;
  private final UsageBoard usage;
  private final InstantSource clock;

  /**
   * Creates a controller.
   *
   * @param state this process's replica of the pool state
   * @param deciders produce the commands to commit in each round, called in this order
   * @param leadership the leader lease of this process
   * @param log commits the commands
   * @param platform performs the operations on hosts
   * @param usage caches the host measurements of the platform, refreshed in each round
   * @param clock compared with the end of the leader lease
   */
  public ActivityController(
      PoolState state,
      ImmutableList<FleetDecider> deciders,
      Leadership leadership,
      CommandLog log,
      Platform platform,
      UsageBoard usage,
      InstantSource clock) {
    this.state = state;
    this.deciders = deciders;
    this.leadership = leadership;
    this.log = log;
    this.platform = platform;
    this.usage = usage;
    this.clock = clock;
  }

  /**
   * Runs one round: commits the commands of the deciders and runs the current phase of each
   * activity. Does nothing if this process holds no leader lease, and starts no decider and no
   * phase within {@link #LEASE_MARGIN} of the lease's end.
   *
   * @throws InterruptedException if the thread is interrupted while it waits for a commit
   */
  public void runRound() throws InterruptedException {
    if (!hasLeaseMargin()) {
      return;
    }
    refreshUsage();
    for (FleetDecider decider : deciders) {
      runDecider(decider);
    }
    for (HostRecord host : state.view().hosts().values()) {
      if (host.activity().isPresent() && hasLeaseMargin()) {
        runPhase(host, host.activity().get());
      }
    }
  }

  private void refreshUsage() {
    try {
      usage.refresh(platform);
    } catch (PlatformException failure) {
      logger.atInfo().log(
          "%s",
          EventLine.of(Event.USAGE_REPORT_MISSING)
              .with("error", String.valueOf(failure.getMessage())));
    }
  }

  private void runDecider(FleetDecider decider) throws InterruptedException {
    if (!hasLeaseMargin()) {
      return;
    }
    for (ControlCommand command : decider.decide(state.view(), clock.instant())) {
      commit(command);
    }
  }

  private boolean hasLeaseMargin() {
    Instant latestStart = clock.instant().plus(LEASE_MARGIN);
    return leadership.leaseUntil().filter(latestStart::isBefore).isPresent();
  }

  private void runPhase(HostRecord host, Activity activity) throws InterruptedException {
    Optional<HostOperation> operation = ActivityEffects.operation(host);
    if (operation.isEmpty()) {
      completePhase(host, activity);
      return;
    }
    try {
      handleReport(host, activity, platform.perform(operation.get()));
    } catch (PlatformException failure) {
      logger.atInfo().log(
          "%s",
          phaseEvent(host, activity)
              .with("verdict", failure.verdict())
              .with("error", String.valueOf(failure.getMessage())));
    }
  }

  private void handleReport(HostRecord host, Activity activity, OperationReport report)
      throws InterruptedException {
    switch (report.progress()) {
      case RUNNING -> {}
      case DONE -> completePhase(host, activity);
      case FAILED ->
          commit(new FailActivity(host.host(), activity.id(), report.detail(), host.version()));
    }
  }

  private void completePhase(HostRecord host, Activity activity) throws InterruptedException {
    commit(new AdvanceActivity(host.host(), activity.id(), activity.phase(), host.version()));
    logger.atInfo().log("%s", phaseEvent(host, activity));
  }

  private void commit(ControlCommand command) throws InterruptedException {
    try {
      CommandReply reply =
          log.submit(new CommandEnvelope(Optional.empty(), command))
              .get(COMMIT_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
      if (reply instanceof PoolReply.Refused refused) {
        logger.atInfo().log(
            "%s",
            EventLine.of(Event.HOST_COMMAND_REFUSED)
                .with("reason", refused.reason())
                .with("message", refused.message()));
      }
    } catch (ExecutionException | TimeoutException unknownOutcome) {
      // Whether the command was committed is unknown; the next round reads it from the state.
      logger.atInfo().withCause(unknownOutcome).log(
          "%s",
          EventLine.of(Event.HOST_COMMAND_REFUSED)
              .with("command", command.getClass().getSimpleName()));
    }
  }

  private static EventLine phaseEvent(HostRecord host, Activity activity) {
    return EventLine.of(Event.HOST_ACTIVITY_PHASE)
        .with("host", host.host())
        .with("activity", activity.id())
        .with("kind", activity.kind())
        .with("phase", activity.phase());
  }
}
