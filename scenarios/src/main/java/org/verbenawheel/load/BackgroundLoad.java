package org.verbenawheel.load;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BiPredicate;
import java.util.function.IntFunction;

/**
 * Keeps a fixed number of requests in flight until {@link #stop} is called: each answer, failure or
 * timeout triggers the next request.
 */
public final class BackgroundLoad {
  private final IntFunction<CallerClient> callers;
  private final IntFunction<LoadRequest> requests;
  private final BiPredicate<LoadRequest, CallerResult> check;
  private final Duration timeout;
  private final LoadReport report = new LoadReport();
  private final AtomicInteger nextNumber = new AtomicInteger();
  private final CompletableFuture<Void> loops;
  private volatile boolean stopping;

  /**
   * Starts sending at once.
   *
   * @param concurrency how many requests are in flight at once
   * @param callers returns the caller that sends the request with the given number, from 0
   * @param requests returns the request with the given number, from 0
   * @param check returns whether an answer is complete and belongs to its request
   * @param timeout how long a caller waits for one answer
   */
  public BackgroundLoad(
      int concurrency,
      IntFunction<CallerClient> callers,
      IntFunction<LoadRequest> requests,
      BiPredicate<LoadRequest, CallerResult> check,
      Duration timeout) {
    this.callers = callers;
    this.requests = requests;
    this.check = check;
    this.timeout = timeout;
    CompletableFuture<?>[] started = new CompletableFuture<?>[concurrency];
    for (int loop = 0; loop < concurrency; loop++) {
      started[loop] = sendNext();
    }
    this.loops = CompletableFuture.allOf(started);
  }

  /** Returns the results so far; later results are added to the same report. */
  public LoadReport report() {
    return report;
  }

  /** Stops sending, waits for the requests in flight and returns the results of all requests. */
  public LoadReport stop() {
    stopping = true;
    loops.join();
    return report;
  }

  private CompletableFuture<Void> sendNext() {
    if (stopping) {
      return CompletableFuture.completedFuture(null);
    }
    int number = nextNumber.getAndIncrement();
    LoadRequest request = requests.apply(number);
    return callers
        .apply(number)
        .send(request, timeout)
        .thenComposeAsync(
            result -> {
              report.add(request, result, check.test(request, result));
              return sendNext();
            });
  }
}
