package org.verbenawheel.fleet;

import java.time.Duration;
import java.time.InstantSource;
import java.util.Optional;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.jspecify.annotations.Nullable;
import org.verbenawheel.execution.FleetLeadership;
import org.verbenawheel.replication.ReplicaProcess;
import org.verbenawheel.replication.ReplicaStatus;
import org.verbenawheel.replication.Role;
import org.verbenawheel.supervision.FailureListener;
import org.verbenawheel.supervision.SupervisedPart;

/**
 * Begins, drives and ends the command of the workers as this replica gains and loses leadership.
 *
 * <p>A leadership begins after a read that a quorum confirmed, so that all that was committed
 * before is applied; it is driven only while the lease holds and the clocks agree.
 */
final class LeaderLoop implements SupervisedPart {
  /** Short against the lease of runs and against a caller's patience. */
  private static final Duration TICK = Duration.ofMillis(50);

  private final ReplicaProcess replica;
  private final Function<Long, FleetLeadership> begin;
  private final SuspensionDetector suspension;
  private @Nullable ScheduledExecutorService thread;
  private @Nullable FleetLeadership leadership;
  private long leadershipTerm = -1;
  private boolean confirming;

  /**
   * Makes a loop that is not started.
   *
   * @param begin begins a leadership of a term; called on the state thread
   */
  LeaderLoop(ReplicaProcess replica, InstantSource clock, Function<Long, FleetLeadership> begin) {
    this.replica = replica;
    this.begin = begin;
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
              Thread ticker = new Thread(task, "leader-loop");
              ticker.setDaemon(true);
              return ticker;
            });
    var unused =
        started.scheduleWithFixedDelay(
            () -> replica.executeOnState(this::onTick),
            TICK.toMillis(),
            TICK.toMillis(),
            TimeUnit.MILLISECONDS);
    thread = started;
  }

  @Override
  public synchronized void stop(Duration grace) {
    if (thread != null) {
      thread.shutdownNow();
      thread = null;
    }
  }

  /** Returns the leadership, if this process leads; to be called on the state thread. */
  Optional<FleetLeadership> leadership() {
    return Optional.ofNullable(leadership);
  }

  private void onTick() {
    Optional<ReplicaStatus> status = replica.status();
    boolean leads = status.filter(present -> present.role() == Role.LEADER).isPresent();
    long term = status.map(ReplicaStatus::term).orElse(-1L);
    if (leadership != null && (!leads || term != leadershipTerm)) {
      leadership.end();
      leadership = null;
    }
    boolean suspected = suspension.mayHaveBeenSuspended();
    if (!leads || !replica.mayDecide()) {
      return;
    }
    if (leadership == null || suspected) {
      confirm(term);
    } else if (!confirming) {
      leadership.onTick();
    }
  }

  private void confirm(long term) {
    if (confirming) {
      return;
    }
    confirming = true;
    var unused =
        replica
            .read(() -> onConfirmed(term))
            .whenComplete((result, failure) -> replica.executeOnState(() -> confirming = false));
  }

  private boolean onConfirmed(long term) {
    if (leadership == null) {
      leadership = begin.apply(term);
      leadershipTerm = term;
    }
    return true;
  }
}
