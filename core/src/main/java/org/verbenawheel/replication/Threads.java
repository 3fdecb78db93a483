package org.verbenawheel.replication;

import java.time.Duration;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.TimeUnit;

/** Makes and stops the threads of a replica. */
final class Threads {
  private static final Duration STOP_TIMEOUT = Duration.ofSeconds(5);

  private Threads() {}

  /** Returns an executor of one daemon thread. */
  static ExecutorService single(String name) {
    return Executors.newSingleThreadExecutor(factory(name));
  }

  /** Returns a scheduler of one daemon thread. */
  static ScheduledExecutorService scheduled(String name) {
    return Executors.newSingleThreadScheduledExecutor(factory(name));
  }

  private static ThreadFactory factory(String name) {
    return task -> {
      Thread thread = new Thread(task, name);
      thread.setDaemon(true);
      return thread;
    };
  }

  /** Lets a thread finish what it was given, and waits for its end. */
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
