package org.verbenawheel.execution;

import java.time.Instant;
import java.time.InstantSource;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.Executor;
import java.util.function.BiConsumer;
import org.jspecify.annotations.Nullable;
import org.verbenawheel.job.JobLedger;

/**
 * What the parts of one leadership share.
 *
 * @param ledger the jobs, as committed
 * @param calls sends orders to workers
 * @param timings how orders are timed
 * @param clock tells instants that never go back
 * @param stateThread the thread that owns the state and everything in this package
 * @param ends collects the ends of runs until they are committed
 * @param trust tells which workers fail what others can do
 * @param tickets what the placement adviser said
 * @param firstFencingToken the lowest fencing token of this leadership
 * @param since when this leadership began
 */
record FleetContext(
    JobLedger ledger,
    WorkerCalls calls,
    ExecutionTimings timings,
    InstantSource clock,
    Executor stateThread,
    EndRecorder ends,
    WorkerTrust trust,
    TicketBook tickets,
    long firstFencingToken,
    Instant since) {

  Instant now() {
    return clock.instant();
  }

  /** Hands the outcome of a call to the state thread. */
  <T> void whenDone(
      CompletableFuture<T> call, BiConsumer<@Nullable T, @Nullable Throwable> outcome) {
    var unused =
        call.whenComplete(
            (value, failure) -> stateThread.execute(() -> outcome.accept(value, causeOf(failure))));
  }

  /** Returns what went wrong, without the wrapping that dependent stages add. */
  private static @Nullable Throwable causeOf(@Nullable Throwable failure) {
    Throwable cause = failure instanceof CompletionException ? failure.getCause() : null;
    return cause == null ? failure : cause;
  }
}
