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

/**
 * Runs tasks one at a time, each followed by a hook that carries out its effects, and reports a
 * failed task to the supervisor.
 */
final class DispatchThread {
  private final ScheduledExecutorService executor;
  private final Runnable afterEachTask;
  private volatile FailureListener failureListener = failure -> {};

  /**
   * Creates the dispatch thread.
   *
   * @param executor runs the tasks one at a time; null to create a dedicated thread
   * @param afterEachTask runs on the same thread after each task that did not fail
   */
  DispatchThread(@Nullable ScheduledExecutorService executor, Runnable afterEachTask) {
    this.executor = executor == null ? newExecutor() : executor;
    this.afterEachTask = afterEachTask;
  }

  void setFailureListener(FailureListener listener) {
    failureListener = listener;
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

  /** Runs an action on this thread with the result of a future, which must not fail. */
  <T> void whenDone(CompletableFuture<T> future, Consumer<T> action) {
    var unused =
        future.whenComplete((value, failure) -> execute(() -> deliver(value, failure, action)));
  }

  private static <T> void deliver(T value, @Nullable Throwable failure, Consumer<T> action) {
    if (failure != null) {
      throw new IllegalStateException(
          "a future that must never complete with a failure did", failure);
    }
    action.accept(value);
  }

  private void run(Runnable task) {
    try {
      task.run();
      afterEachTask.run();
    } catch (RuntimeException failure) {
      failureListener.onFailure(
          new PartFailedException(
              "a task on the dispatch thread failed; the part is restarted", failure));
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
