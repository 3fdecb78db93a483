package org.verbenawheel.replication;

import java.time.Duration;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.TimeUnit;

/** Creates and stops the threads of a replica. */
final class Threads {
  private static final Duration STOP_TIMEOUT = Duration.ofSeconds(5);

  private Threads() {}

  /** Returns an executor with one daemon thread. */
  static ExecutorService singleThreadExecutor(String name) {
    return Executors.newSingleThreadExecutor(threadFactory(name));
  }

  /** Returns a scheduler with one daemon thread. */
  static ScheduledExecutorService singleThreadScheduler(String name) {
    return Executors.newSingleThreadScheduledExecutor(threadFactory(name));
  }

  private static ThreadFactory threadFactory(String name) {
    return task -> {
      Thread thread = new Thread(task, name);
      thread.setDaemon(true);
      return thread;
    };
  }

  /** Waits up to {@link #STOP_TIMEOUT} for the queued tasks, then interrupts the thread. */
  static void stop(ExecutorService thread) {
    thread.shutdown();
    try {
      if (!thread.awaitTermination(STOP_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)) {
        thread.shutdownNow();
      }
    } catch (InterruptedException interrupted) {
      thread.shutdownNow();
      Thread.currentThread().interrupt();
    }
  }
}
