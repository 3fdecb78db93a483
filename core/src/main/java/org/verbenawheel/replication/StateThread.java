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
 * Runs the thread that applies entries, answers reads and takes snapshots, so that none of these
 * delays a heartbeat.
 */
final class StateThread {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final StateMachine machine;
  private final PendingCommands pending;
  private final SnapshotPolicy snapshotPolicy;
  private final BiConsumer<SnapshotPoint, byte[]> snapshotListener;
  private final Consumer<Throwable> failureListener;
  private final ExecutorService executor;
  private long lastSnapshotIndex;
  private long lastSnapshotBytes;
  private long appliedBytes;
  private boolean snapshotBeingWritten;
  private volatile long appliedIndex;

  /**
   * Creates the thread.
   *
   * @param snapshotPolicy decides when a snapshot is due
   * @param snapshotListener called on this thread with each new snapshot; {@link
   *     #onSnapshotWritten} must be called once it is on disk
   * @param failureListener called with each error that keeps this thread from continuing
   */
  StateThread(
      StateMachine machine,
      PendingCommands pending,
      SnapshotPolicy snapshotPolicy,
      BiConsumer<SnapshotPoint, byte[]> snapshotListener,
      Consumer<Throwable> failureListener) {
    this.machine = machine;
    this.pending = pending;
    this.snapshotPolicy = snapshotPolicy;
    this.snapshotListener = snapshotListener;
    this.failureListener = failureListener;
    this.executor = Threads.singleThreadExecutor("replica-state");
    this.lastSnapshotIndex = machine.applied().index();
    this.appliedIndex = lastSnapshotIndex;
  }

  /** Returns the index of the last applied entry. */
  long appliedIndex() {
    return appliedIndex;
  }

  /** Queues committed entries to be applied in order. */
  void apply(Effect.Apply effect) {
    execute(() -> applyAll(effect));
  }

  private void applyAll(Effect.Apply effect) {
    for (LogEntry entry : effect.entries()) {
      Optional<CommandReply> reply = machine.apply(entry);
      appliedIndex = entry.index();
      appliedBytes += entry.payload().length();
      if (reply.isPresent()) {
        pending.onApplied(entry, reply.get());
      } else {
        pending.onAppliedWithoutCommand(entry);
      }
      if (entry.type() == EntryType.MEMBERS) {
        logMembers(entry);
      }
      takeSnapshotIfDue();
    }
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

  /**
   * Takes a snapshot if one is due and the previous one is on disk: a slow disk must not fill the
   * memory with snapshots.
   */
  private void takeSnapshotIfDue() {
    long entries = machine.applied().index() - lastSnapshotIndex;
    if (snapshotBeingWritten || !snapshotPolicy.isDue(entries, appliedBytes, lastSnapshotBytes)) {
      return;
    }
    byte[] snapshot = machine.snapshot();
    snapshotBeingWritten = true;
    onSnapshot(machine.applied().index(), snapshot.length);
    snapshotListener.accept(machine.applied(), snapshot);
  }

  private void onSnapshot(long index, long bytes) {
    lastSnapshotIndex = index;
    lastSnapshotBytes = bytes;
    appliedBytes = 0;
  }

  /** Allows the next snapshot, since the last one is on disk. */
  void onSnapshotWritten() {
    execute(
        () -> {
          snapshotBeingWritten = false;
          takeSnapshotIfDue();
        });
  }

  /** Queues a snapshot from the leader to replace the state. */
  void install(Effect.InstallSnapshot effect) {
    execute(() -> restore(effect));
  }

  private void restore(Effect.InstallSnapshot effect) {
    try {
      machine.restore(effect.point(), effect.state().bytes());
    } catch (DamagedSnapshotException unreadable) {
      failureListener.accept(unreadable);
      return;
    }
    onSnapshot(effect.point().index(), effect.state().length());
    appliedIndex = lastSnapshotIndex;
    pending.onSnapshotInstalled(lastSnapshotIndex);
    logger.atInfo().log(
        "%s", EventLine.of(Event.SNAPSHOT_INSTALLED).with("index", lastSnapshotIndex));
  }

  /** Queues a task after the earlier ones; dropped if the thread has stopped. */
  void execute(Runnable task) {
    try {
      executor.execute(() -> runChecked(task));
    } catch (RejectedExecutionException stopped) {
      logger.atFine().log("task dropped: the state thread has stopped");
    }
  }

  private void runChecked(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException | Error unexpected) {
      failureListener.accept(unexpected);
    }
  }

  /** Stops the thread after the queued tasks. */
  void stop() {
    Threads.stop(executor);
  }
}
