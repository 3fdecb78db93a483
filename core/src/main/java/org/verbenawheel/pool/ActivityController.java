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
 * Carries out activities on the leader: commits what the deciders begin, then for each phase asks
 * the platform for its effect and commits that it is done.
 *
 * <p>The phase is in the replicated state before its effect begins, and the effect's identity is
 * derived from it. A leader that stops between any two steps leaves a state from which the next one
 * resends the same operation, and the platform does that once.
 */
public final class ActivityController {
  /** No effect begins later than this before the leader lease ends. */
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
   * Makes a controller.
   *
   * @param state the state of this process, which the log's commands are applied to
   * @param deciders decide what to begin; asked in this order
   * @param leadership tells whether this process may decide
   * @param log commits the commands
   * @param platform does the effects
   * @param usage takes over what the platform measures
   * @param clock tells the time by which the leader lease is judged
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
   * Begins what the deciders ask for and takes each activity one phase on, if this process leads.
   *
   * @throws InterruptedException if the thread is interrupted while it waits for a commit
   */
  public void runRound() throws InterruptedException {
    if (!mayAct()) {
      return;
    }
    refreshUsage();
    for (FleetDecider decider : deciders) {
      begin(decider);
    }
    for (HostRecord host : state.view().hosts().values()) {
      if (host.activity().isPresent() && mayAct()) {
        takeOn(host, host.activity().get());
      }
    }
  }

  private void refreshUsage() {
    try {
      usage.refresh(platform);
    } catch (PlatformException unanswered) {
      logger.atInfo().log(
          "%s",
          EventLine.of(Event.USAGE_REPORT_MISSING)
              .with("error", String.valueOf(unanswered.getMessage())));
    }
  }

  private void begin(FleetDecider decider) throws InterruptedException {
    if (!mayAct()) {
      return;
    }
    for (ControlCommand command : decider.decide(state.view(), clock.instant())) {
      commit(command);
    }
  }

  private boolean mayAct() {
    Instant latestStart = clock.instant().plus(LEASE_MARGIN);
    return leadership.leaseUntil().filter(latestStart::isBefore).isPresent();
  }

  private void takeOn(HostRecord host, Activity activity) throws InterruptedException {
    Optional<HostOperation> operation = ActivityEffects.operation(host);
    if (operation.isEmpty()) {
      completePhase(host, activity);
      return;
    }
    try {
      act(host, activity, platform.perform(operation.get()));
    } catch (PlatformException unanswered) {
      logger.atInfo().log(
          "%s",
          line(host, activity)
              .with("verdict", unanswered.verdict())
              .with("error", String.valueOf(unanswered.getMessage())));
    }
  }

  private void act(HostRecord host, Activity activity, OperationReport report)
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
    logger.atInfo().log("%s", line(host, activity));
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
    } catch (ExecutionException | TimeoutException uncertain) {
      // The next round reads the state again: it shows whether the command was committed.
      logger.atInfo().withCause(uncertain).log(
          "%s",
          EventLine.of(Event.HOST_COMMAND_REFUSED)
              .with("command", command.getClass().getSimpleName()));
    }
  }

  private static EventLine line(HostRecord host, Activity activity) {
    return EventLine.of(Event.HOST_ACTIVITY_PHASE)
        .with("host", host.host())
        .with("activity", activity.id())
        .with("kind", activity.kind())
        .with("phase", activity.phase());
  }
}
