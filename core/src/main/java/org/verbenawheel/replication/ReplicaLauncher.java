package org.verbenawheel.replication;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.verbenawheel.event.Event;
import org.verbenawheel.event.EventLine;
import org.verbenawheel.storage.DiskFailureException;
import org.verbenawheel.storage.StorageException;
import org.verbenawheel.supervision.FailureListener;
import org.verbenawheel.supervision.PartFailedException;

/**
 * Opens a replica, and opens it again after its disk has failed. Thread-safe.
 *
 * <p>A full disk has room again after a while, and the other parts of the process work without it,
 * so the process does not end. Until the replica is open again it neither votes nor acknowledges.
 * All other failures are reported to the supervisor.
 */
final class ReplicaLauncher {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Shorter than an election, so that a short outage costs the cluster no more than one. */
  private static final Duration RETRY_DELAY = Duration.ofMillis(250);

  private final Opener opener;
  private final FirstFailureReporter reporter;
  private final ScheduledExecutorService executor = Threads.singleThreadScheduler("replica-launch");
  private volatile @Nullable RunningReplica running;
  private boolean stopped;

  /**
   * Creates a launcher.
   *
   * @param opener opens the replica's folder and starts the replica
   * @param failures receives the failures that keep the replica from continuing
   */
  ReplicaLauncher(Opener opener, FailureListener failures) {
    this.opener = opener;
    this.reporter = new FirstFailureReporter(failures);
  }

  /** Reads a replica from its folder; it is not started. */
  @FunctionalInterface
  interface Opener {
    /**
     * Opens a replica.
     *
     * @param failureListener receives each error that keeps the replica from continuing
     */
    RunningReplica open(Consumer<Throwable> failureListener)
        throws StorageException, DamagedSnapshotException;
  }

  /** Returns the replica while it is open. */
  Optional<RunningReplica> running() {
    return Optional.ofNullable(running);
  }

  /**
   * Opens and starts the replica, or keeps trying to while the disk fails.
   *
   * @throws PartFailedException if the folder is damaged, incomplete or in use
   */
  synchronized void start() throws PartFailedException {
    try {
      launch();
    } catch (StorageException | DamagedSnapshotException unusable) {
      executor.shutdownNow();
      throw new PartFailedException("replica cannot start: " + unusable.getMessage(), unusable);
    }
  }

  private void launch() throws StorageException, DamagedSnapshotException {
    try {
      RunningReplica opened = opener.open(this::onFailure);
      running = opened;
      opened.start();
    } catch (DiskFailureException failed) {
      logger.atWarning().atMostEvery(1, TimeUnit.SECONDS).log(
          "%s", EventLine.of(Event.STORAGE_UNAVAILABLE).with("reason", failed));
      execute(this::relaunch, RETRY_DELAY);
    }
  }

  private void onFailure(Throwable cause) {
    if (!(cause instanceof DiskFailureException)) {
      reporter.onFailure(cause);
      return;
    }
    logger.atWarning().log("%s", EventLine.of(Event.STORAGE_UNAVAILABLE).with("reason", cause));
    execute(this::relaunch, Duration.ZERO);
  }

  private void execute(Runnable task, Duration delay) {
    try {
      var unused = executor.schedule(task, delay.toMillis(), TimeUnit.MILLISECONDS);
    } catch (RejectedExecutionException stopping) {
      logger.atFine().log("the replica is not opened again: it is being stopped");
    }
  }

  private synchronized void relaunch() {
    if (stopped) {
      return;
    }
    running().ifPresent(RunningReplica::close);
    running = null;
    try {
      launch();
    } catch (StorageException | DamagedSnapshotException unusable) {
      reporter.onFailure(unusable);
    }
  }

  /** Stops the replica, as {@link RunningReplica#leave}. */
  synchronized void stop(Duration grace) {
    stopped = true;
    executor.shutdownNow();
    running().ifPresent(replica -> replica.leave(grace));
    running = null;
  }
}
