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
 * Owns the thread that writes and syncs. While one sync runs, more entries gather, and the next
 * sync covers them all as one record.
 */
final class StorageThread {
  private final ReplicaStore store;
  private final boolean groupCommit;
  private final LongConsumer synced;
  private final Consumer<Throwable> failures;
  private final BlockingQueue<Task> tasks = new LinkedBlockingQueue<>();
  private final Thread thread;
  private volatile boolean stopping;

  /**
   * Makes the thread; it runs once started.
   *
   * @param groupCommit whether one sync may cover many effects
   * @param synced takes the number of the last effect that is synced
   * @param failures takes what ends this thread's work; nothing is synced after it
   */
  StorageThread(
      ReplicaStore store, boolean groupCommit, LongConsumer synced, Consumer<Throwable> failures) {
    this.store = store;
    this.groupCommit = groupCommit;
    this.synced = synced;
    this.failures = failures;
    this.thread = new Thread(this::run, "replica-storage");
    this.thread.setDaemon(true);
  }

  void start() {
    thread.start();
  }

  /** Carries out an effect on the disk, after those before it. */
  void write(Effect.Durable effect) {
    tasks.add(new Task.Write(effect));
  }

  /** Runs an action between two effects. */
  void execute(StorageAction action) {
    tasks.add(new Task.Run(action));
  }

  private void run() {
    try {
      while (!stopping || !tasks.isEmpty()) {
        carryOut(nextTasks());
      }
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    } catch (StorageException | RuntimeException | Error failed) {
      failures.accept(failed);
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

  private void carryOut(List<Task> batch) throws StorageException {
    ImmutableList.Builder<LogEntry> gathered = ImmutableList.builder();
    long lastSequence = 0;
    for (Task task : batch) {
      if (task instanceof Task.Write write
          && write.effect() instanceof Effect.PersistEntries persist) {
        gathered.addAll(persist.entries());
        lastSequence = persist.sequence();
        continue;
      }
      syncEntries(gathered.build(), lastSequence);
      gathered = ImmutableList.builder();
      if (task instanceof Task.Write write) {
        writeAlone(write.effect());
      } else if (task instanceof Task.Run run) {
        run.action().run(store);
      }
    }
    syncEntries(gathered.build(), lastSequence);
  }

  private void syncEntries(ImmutableList<LogEntry> entries, long sequence) throws StorageException {
    if (entries.isEmpty()) {
      return;
    }
    store.append(entries);
    store.sync();
    synced.accept(sequence);
  }

  private void writeAlone(Effect.Durable effect) throws StorageException {
    if (effect instanceof Effect.PersistHardState persist) {
      store.writeHardState(persist.state());
    } else if (effect instanceof Effect.InstallSnapshot install) {
      store.install(install);
    }
    synced.accept(effect.sequence());
  }

  /** Stops the thread once it has done what was asked for before, and closes the folder. */
  void stop() {
    stopping = true;
    execute(ReplicaStore::forgetImage);
    try {
      thread.join();
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
    store.close();
  }

  /** Something to do with the store that is no effect of the replica. */
  @FunctionalInterface
  interface StorageAction {
    /** Does it. */
    void run(ReplicaStore store) throws StorageException;
  }

  private sealed interface Task {
    record Write(Effect.Durable effect) implements Task {}

    record Run(StorageAction action) implements Task {}
  }
}
