package org.verbenawheel.replication;

import com.google.common.flogger.FluentLogger;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.RejectedExecutionException;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.verbenawheel.event.Event;
import org.verbenawheel.event.EventLine;

/**
 * Owns the thread that applies entries, answers reads and takes snapshots, so that none of these
 * delays a heartbeat.
 */
final class StateThread {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final StateMachine machine;
  private final PendingCommands pending;
  private final int snapshotInterval;
  private final BiConsumer<SnapshotPoint, byte[]> snapshots;
  private final Consumer<Throwable> failures;
  private final ExecutorService thread;
  private long lastSnapshotIndex;
  private volatile long appliedIndex;

  /**
   * Makes the thread.
   *
   * @param snapshots takes each new snapshot
   * @param failures takes what ends this thread's work
   */
  StateThread(
      StateMachine machine,
      PendingCommands pending,
      int snapshotInterval,
      BiConsumer<SnapshotPoint, byte[]> snapshots,
      Consumer<Throwable> failures) {
    this.machine = machine;
    this.pending = pending;
    this.snapshotInterval = snapshotInterval;
    this.snapshots = snapshots;
    this.failures = failures;
    this.thread = Threads.single("replica-state");
    this.lastSnapshotIndex = machine.applied().index();
    this.appliedIndex = lastSnapshotIndex;
  }

  /** Returns the last entry that was applied. */
  long appliedIndex() {
    return appliedIndex;
  }

  /** Applies entries in order. */
  void apply(Effect.Apply effect) {
    execute(() -> applyAll(effect));
  }

  private void applyAll(Effect.Apply effect) {
    for (LogEntry entry : effect.entries()) {
      Optional<CommandReply> reply = machine.apply(entry);
      appliedIndex = entry.index();
      if (reply.isPresent()) {
        pending.onApplied(entry, reply.get());
      } else {
        pending.onAppliedWithoutCommand(entry);
      }
      if (entry.type() == EntryType.MEMBERS) {
        logMembers(entry);
      }
    }
    takeSnapshotIfDue();
  }

  private static void logMembers(LogEntry entry) {
    ClusterMembers members = ReplicationMessages.membersOf(entry);
    logger.atInfo().log(
        "%s",
        EventLine.of(Event.MEMBERS_CHANGED)
            .with("index", entry.index())
            .with("voters", members.voters())
            .with("learners", members.learners()));
  }

  private void takeSnapshotIfDue() {
    if (machine.applied().index() - lastSnapshotIndex < snapshotInterval) {
      return;
    }
    lastSnapshotIndex = machine.applied().index();
    snapshots.accept(machine.applied(), machine.snapshot());
  }

  /** Puts a snapshot in the place of the state. */
  void install(Effect.InstallSnapshot effect) {
    execute(() -> restore(effect));
  }

  private void restore(Effect.InstallSnapshot effect) {
    try {
      machine.restore(effect.point(), effect.image().bytes());
    } catch (DamagedSnapshotException unreadable) {
      failures.accept(unreadable);
      return;
    }
    lastSnapshotIndex = effect.point().index();
    appliedIndex = lastSnapshotIndex;
    pending.onSnapshotInstalled(lastSnapshotIndex);
    logger.atInfo().log(
        "%s", EventLine.of(Event.SNAPSHOT_INSTALLED).with("index", lastSnapshotIndex));
  }

  /** Runs a task after all that was asked for before it. */
  void execute(Runnable task) {
    try {
      thread.execute(() -> runChecked(task));
    } catch (RejectedExecutionException stopped) {
      logger.atFine().log("state thread stopped");
    }
  }

  private void runChecked(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException | Error unexpected) {
      failures.accept(unexpected);
    }
  }

  /** Stops the thread once it has done what was asked for before. */
  void stop() {
    Threads.stop(thread);
  }
}
