package org.verbenawheel.replication;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import org.verbenawheel.storage.StorageException;

/**
 * Runs the thread that writes to disk and syncs. With group commit, entries that arrive during a
 * sync are written as one record and covered by the next sync.
 */
final class StorageThread {
  /** Entries beyond this length are not added to a record, which is copied while it is written. */
  private static final long MAXIMUM_RECORD_BYTES = 4L * 1024 * 1024;

  private final ReplicaStore store;
  private final boolean groupCommit;
  private final LongConsumer syncListener;
  private final Consumer<Throwable> failureListener;
  private final BlockingQueue<Task> tasks = new LinkedBlockingQueue<>();
  private final Thread thread;
  private volatile long logFileBytes;
  private volatile boolean stopping;

  /**
   * Creates the thread without starting it.
   *
   * @param groupCommit whether one sync may cover many writes
   * @param syncListener called on this thread with the sequence number of the last synced write
   * @param failureListener called with the error that ends this thread; nothing is synced after it
   */
  StorageThread(
      ReplicaStore store,
      boolean groupCommit,
      LongConsumer syncListener,
      Consumer<Throwable> failureListener) {
    this.store = store;
    this.groupCommit = groupCommit;
    this.syncListener = syncListener;
    this.failureListener = failureListener;
    this.logFileBytes = store.logLength();
    this.thread = new Thread(this::run, "replica-storage");
    this.thread.setDaemon(true);
  }

  void start() {
    thread.start();
  }

  /** Returns the length of the log files in bytes, as of the last writes. */
  long logFileBytes() {
    return logFileBytes;
  }

  /** Queues a write after the earlier ones. */
  void write(Effect.Durable effect) {
    tasks.add(new Task.Write(effect));
  }

  /** Queues an action that runs after the earlier writes. */
  void execute(StorageAction action) {
    tasks.add(new Task.Run(action));
  }

  private void run() {
    try {
      while (!stopping || !tasks.isEmpty()) {
        perform(nextTasks());
        logFileBytes = store.logLength();
      }
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    } catch (StorageException | RuntimeException | Error failed) {
      failureListener.accept(failed);
    }
  }

  private List<Task> nextTasks() throws InterruptedException {
    List<Task> next = new ArrayList<>();
    next.add(tasks.take());
    if (groupCommit) {
      tasks.drainTo(next);
    }
    return next;
  }

  private void perform(List<Task> batch) throws StorageException {
    ImmutableList.Builder<LogEntry> pendingEntries = ImmutableList.builder();
    long pendingBytes = 0;
    long lastSequence = 0;
    for (Task task : batch) {
      if (task instanceof Task.Write write
          && write.effect() instanceof Effect.PersistEntries persist) {
        if (pendingBytes >= MAXIMUM_RECORD_BYTES) {
          syncEntries(pendingEntries.build(), lastSequence);
          pendingEntries = ImmutableList.builder();
          pendingBytes = 0;
        }
        pendingEntries.addAll(persist.entries());
        pendingBytes +=
            persist.entries().stream().mapToLong(entry -> entry.payload().length()).sum();
        lastSequence = persist.sequence();
        continue;
      }
      syncEntries(pendingEntries.build(), lastSequence);
      pendingEntries = ImmutableList.builder();
      pendingBytes = 0;
      if (task instanceof Task.Write write) {
        writeUnbatched(write.effect());
      } else if (task instanceof Task.Run run) {
        run.action().run(store);
      }
    }
    syncEntries(pendingEntries.build(), lastSequence);
  }

  private void syncEntries(ImmutableList<LogEntry> entries, long sequence) throws StorageException {
    if (entries.isEmpty()) {
      return;
    }
    store.append(entries);
    store.sync();
    syncListener.accept(sequence);
  }

  private void writeUnbatched(Effect.Durable effect) throws StorageException {
    if (effect instanceof Effect.PersistHardState persist) {
      store.writeHardState(persist.state());
    } else if (effect instanceof Effect.InstallSnapshot install) {
      store.install(install);
    }
    syncListener.accept(effect.sequence());
  }

  /** Stops the thread after the queued tasks, and closes the store with its folder. */
  void stop() {
    stopping = true;
    execute(ReplicaStore::releaseSnapshotBytes);
    try {
      thread.join();
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
    store.close();
  }

  /** An action on the store that is not a write requested by the replica. */
  @FunctionalInterface
  interface StorageAction {
    /** Runs the action on the storage thread. */
    void run(ReplicaStore store) throws StorageException;
  }

  private sealed interface Task {
    record Write(Effect.Durable effect) implements Task {}

    record Run(StorageAction action) implements Task {}
  }
}
