package org.verbenawheel.execution;

import java.time.Instant;
import java.time.InstantSource;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.Executor;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import org.jspecify.annotations.Nullable;
import org.verbenawheel.job.JobRegistry;

/**
 * The state and the collaborators that the components of one leadership share.
 *
 * @param jobRegistry the committed jobs
 * @param calls sends orders to workers
 * @param timings intervals and timeouts of orders to workers
 * @param clock a monotonic clock
 * @param stateThread the thread that owns the state and everything in this package
 * @param endRecorder commits the ends of runs
 * @param requestRound requests that waiting tasks are bound to workers
 * @param failureTracker quarantines workers that fail tasks which other workers can run
 * @param adviceCache the placement adviser's answers
 * @param log logs and counts what explains why a task ran more than once
 * @param firstFencingToken the lowest fencing token of this leadership
 * @param leadingSince when this leadership began
 * @param hasEnded whether this leadership has ended
 */
record FleetContext(
    JobRegistry jobRegistry,
    WorkerCalls calls,
    ExecutionTimings timings,
    InstantSource clock,
    Executor stateThread,
    EndRecorder endRecorder,
    Runnable requestRound,
    WorkerFailureTracker failureTracker,
    AdviceCache adviceCache,
    ExecutionLog log,
    long firstFencingToken,
    Instant leadingSince,
    BooleanSupplier hasEnded) {

  Instant now() {
    return clock.instant();
  }

  /**
   * Passes the outcome of a call to a callback on the state thread. On failure, the value is null.
   */
  <T> void whenDone(
      CompletableFuture<T> call, BiConsumer<@Nullable T, @Nullable Throwable> outcome) {
    var unused =
        call.whenComplete(
            (value, failure) -> stateThread.execute(() -> outcome.accept(value, causeOf(failure))));
  }

  /**
   * Passes the outcome of a call to a worker on as {@link #whenDone} does, unless this leadership
   * has ended meanwhile. This process may lead again, and has sent orders since then that this
   * leadership does not know.
   */
  <T> void whenAnswered(
      CompletableFuture<T> call, BiConsumer<@Nullable T, @Nullable Throwable> outcome) {
    whenDone(
        call,
        (value, failure) -> {
          if (!hasEnded.getAsBoolean()) {
            outcome.accept(value, failure);
          }
        });
  }

  /** Returns the original failure, without the wrapper that dependent stages add. */
  private static @Nullable Throwable causeOf(@Nullable Throwable failure) {
    Throwable cause = failure instanceof CompletionException ? failure.getCause() : null;
    return cause == null ? failure : cause;
  }
}
