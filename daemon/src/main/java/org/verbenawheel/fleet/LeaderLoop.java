package org.verbenawheel.fleet;

import com.codahale.metrics.Timer;
import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Optional;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.jspecify.annotations.Nullable;
import org.verbenawheel.event.Event;
import org.verbenawheel.event.EventLine;
import org.verbenawheel.execution.FleetLeadership;
import org.verbenawheel.replication.ReplicaProcess;
import org.verbenawheel.replication.ReplicaStatus;
import org.verbenawheel.replication.Role;
import org.verbenawheel.supervision.FailureListener;
import org.verbenawheel.supervision.SupervisedPart;

/**
 * Creates a {@link FleetLeadership} when this replica becomes leader, ticks it, and ends it when
 * the replica loses leadership.
 *
 * <p>A leadership begins only after a quorum-confirmed read, because by then everything committed
 * earlier is applied. It is ticked only while the leader lease is valid and the clocks show no
 * suspension of the process.
 */
final class LeaderLoop implements SupervisedPart {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Short compared with the lease of runs and with the time that callers wait. */
  private static final Duration TICK_INTERVAL = Duration.ofMillis(50);

  /** A caller's call waits for the state thread at least twice, so this delays it noticeably. */
  private static final Duration LONG_DELAY = Duration.ofMillis(200);

  private final ReplicaProcess replica;
  private final InstantSource clock;
  private final Function<Long, FleetLeadership> leadershipFactory;
  private final OrderAuthority orderAuthority;
  private final Timer delayTimer;
  private final SuspensionDetector suspension;
  private @Nullable ScheduledExecutorService executor;
  private @Nullable FleetLeadership leadership;
  private long leadershipTerm = -1;
  private boolean confirmationPending;

  /**
   * Creates a loop that is not started.
   *
   * @param clock a monotonic clock
   * @param leadershipFactory begins the leadership of the given term; called on the state thread
   * @param orderAuthority confirmed on each tick of a leadership, revoked when it ends
   * @param delayTimer receives how long each tick waits for the state thread
   */
  LeaderLoop(
      ReplicaProcess replica,
      InstantSource clock,
      Function<Long, FleetLeadership> leadershipFactory,
      OrderAuthority orderAuthority,
      Timer delayTimer) {
    this.replica = replica;
    this.clock = clock;
    this.orderAuthority = orderAuthority;
    this.delayTimer = delayTimer;
    this.leadershipFactory = leadershipFactory;
    this.suspension = new SuspensionDetector(clock, System::currentTimeMillis);
  }

  @Override
  public String name() {
    return "leader-loop";
  }

  @Override
  public synchronized void start(FailureListener failures) {
    ScheduledExecutorService started =
        Executors.newSingleThreadScheduledExecutor(
            task -> {
              Thread thread = new Thread(task, "leader-loop");
              thread.setDaemon(true);
              return thread;
            });
    var unused =
        started.scheduleWithFixedDelay(
            this::queueTick,
            TICK_INTERVAL.toMillis(),
            TICK_INTERVAL.toMillis(),
            TimeUnit.MILLISECONDS);
    executor = started;
  }

  @Override
  public synchronized void stop(Duration grace) {
    if (executor != null) {
      executor.shutdownNow();
      executor = null;
    }
  }

  /** Returns the leadership if this process leads; must be called on the state thread. */
  Optional<FleetLeadership> leadership() {
    return Optional.ofNullable(leadership);
  }

  private void queueTick() {
    Instant queuedAt = clock.instant();
    replica.executeOnState(
        () -> {
          recordDelay(Duration.between(queuedAt, clock.instant()));
          onTick();
        });
  }

  private void recordDelay(Duration delay) {
    delayTimer.update(delay);
    if (delay.compareTo(LONG_DELAY) >= 0) {
      logger.atWarning().atMostEvery(200, TimeUnit.MILLISECONDS).log(
          "%s", EventLine.of(Event.STATE_THREAD_DELAYED).with("milliseconds", delay.toMillis()));
    }
  }

  private void onTick() {
    Optional<ReplicaStatus> status = replica.status();
    boolean leads = status.filter(current -> current.role() == Role.LEADER).isPresent();
    long term = status.map(ReplicaStatus::term).orElse(-1L);
    if (leadership != null && (!leads || term != leadershipTerm)) {
      orderAuthority.revoke();
      leadership.end();
      leadership = null;
    }
    boolean maybeSuspended = suspension.mayHaveBeenSuspended();
    if (!leads || !replica.mayDecide()) {
      return;
    }
    if (leadership == null || maybeSuspended) {
      confirmLeadership(term);
    } else if (!confirmationPending) {
      orderAuthority.confirm();
      leadership.onTick();
    }
  }

  private void confirmLeadership(long term) {
    if (confirmationPending) {
      return;
    }
    confirmationPending = true;
    var unused =
        replica
            .read(() -> onLeadershipConfirmed(term))
            .whenComplete(
                (result, failure) -> replica.executeOnState(() -> confirmationPending = false));
  }

  private boolean onLeadershipConfirmed(long term) {
    if (leadership == null) {
      leadership = leadershipFactory.apply(term);
      leadershipTerm = term;
    }
    return true;
  }
}
