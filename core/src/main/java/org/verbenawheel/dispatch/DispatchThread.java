package org.verbenawheel.dispatch;

import com.google.common.util.concurrent.ThreadFactoryBuilder;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.verbenawheel.supervision.FailureListener;
import org.verbenawheel.supervision.PartFailedException;

/** Runs one task after the other, carries out what each decided, and reports its failure. */
final class DispatchThread {
  private final ScheduledExecutorService executor;
  private final Runnable afterEachTask;
  private volatile FailureListener failures = failure -> {};

  /**
   * Makes a thread.
   *
   * @param executor runs the tasks one by one; null for a thread of its own
   * @param afterEachTask runs after each task
   */
  DispatchThread(@Nullable ScheduledExecutorService executor, Runnable afterEachTask) {
    this.executor = executor == null ? newExecutor() : executor;
    this.afterEachTask = afterEachTask;
  }

  void reportFailuresTo(FailureListener listener) {
    failures = listener;
  }

  void execute(Runnable task) {
    executor.execute(() -> run(task));
  }

  Future<?> schedule(Runnable task, Duration delay) {
    return executor.schedule(() -> run(task), delay.toNanos(), TimeUnit.NANOSECONDS);
  }

  Future<?> repeat(Runnable task, Duration period) {
    return executor.scheduleAtFixedRate(() -> run(task), 0, period.toNanos(), TimeUnit.NANOSECONDS);
  }

  /** Hands a result to an action on this thread. */
  <T> void whenDone(CompletableFuture<T> future, Consumer<T> action) {
    var unused =
        future.whenComplete((value, failure) -> execute(() -> handOn(value, failure, action)));
  }

  private static <T> void handOn(T value, @Nullable Throwable failure, Consumer<T> action) {
    if (failure != null) {
      throw new IllegalStateException("a port that never fails did", failure);
    }
    action.accept(value);
  }

  private void run(Runnable task) {
    try {
      task.run();
      afterEachTask.run();
    } catch (RuntimeException failure) {
      failures.onFailure(
          new PartFailedException("the dispatch thread failed; it is restarted", failure));
    }
  }

  private static ScheduledExecutorService newExecutor() {
    ScheduledThreadPoolExecutor thread =
        new ScheduledThreadPoolExecutor(
            1, new ThreadFactoryBuilder().setNameFormat("dispatch").setDaemon(true).build());
    thread.setRemoveOnCancelPolicy(true);
    return thread;
  }
}
