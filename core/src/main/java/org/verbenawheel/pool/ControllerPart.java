package org.verbenawheel.pool;

import java.time.Duration;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.verbenawheel.supervision.FailureListener;
import org.verbenawheel.supervision.PartFailedException;
import org.verbenawheel.supervision.SupervisedPart;

/** Runs the rounds of an {@link ActivityController} on a dedicated thread. */
public final class ControllerPart implements SupervisedPart {
  private final ActivityController controller;
  private final Duration interval;
  private @Nullable ScheduledExecutorService roundExecutor;

  /**
   * Creates a part that is not started.
   *
   * @param controller the controller to run
   * @param interval the delay between the end of a round and the start of the next
   */
  public ControllerPart(ActivityController controller, Duration interval) {
    this.controller = controller;
    this.interval = interval;
  }

  @Override
  public String name() {
    return "controllers";
  }

  @Override
  public synchronized void start(FailureListener failures) {
    ScheduledExecutorService executor =
        Executors.newSingleThreadScheduledExecutor(ControllerPart::daemonThread);
    // The future is not needed: runRound passes every unexpected exception to the listener.
    ScheduledFuture<?> unused =
        executor.scheduleWithFixedDelay(
            () -> runRound(failures), 0, interval.toMillis(), TimeUnit.MILLISECONDS);
    roundExecutor = executor;
  }

  /**
   * Waits for the current round to end and interrupts it after the grace period. This is safe at
   * any step, because the next leader resumes from the replicated state.
   */
  @Override
  public synchronized void stop(Duration grace) {
    ScheduledExecutorService executor = roundExecutor;
    if (executor == null) {
      return;
    }
    roundExecutor = null;
    executor.shutdown();
    try {
      if (!executor.awaitTermination(grace.toMillis(), TimeUnit.MILLISECONDS)) {
        executor.shutdownNow();
      }
    } catch (InterruptedException interrupted) {
      executor.shutdownNow();
      Thread.currentThread().interrupt();
    }
  }

  private void runRound(FailureListener failures) {
    try {
      controller.runRound();
    } catch (InterruptedException stopping) {
      Thread.currentThread().interrupt();
    } catch (RuntimeException unexpected) {
      failures.onFailure(
          new PartFailedException("a round of the controllers failed: see the cause", unexpected));
    }
  }

  private static Thread daemonThread(Runnable task) {
    Thread thread = new Thread(task, "controllers");
    thread.setDaemon(true);
    return thread;
  }
}
