package org.verbenawheel.load;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BiPredicate;
import java.util.function.IntFunction;

/**
 * Closed-loop load generator: sends a fixed number of requests with a fixed concurrency; each
 * answer triggers the next request.
 */
public final class ClosedLoop {
  private final ImmutableList<CallerClient> callers;
  private final IntFunction<LoadRequest> requests;
  private final BiPredicate<LoadRequest, CallerResult> check;
  private final Duration timeout;

  /**
   * Creates a load generator; {@link #run} starts it.
   *
   * @param callers the callers, used round robin
   * @param requests returns the request with the given number, from 0
   * @param check returns whether an answer is complete and belongs to its request
   * @param timeout how long a caller waits for one answer
   */
  public ClosedLoop(
      ImmutableList<CallerClient> callers,
      IntFunction<LoadRequest> requests,
      BiPredicate<LoadRequest, CallerResult> check,
      Duration timeout) {
    this.callers = callers;
    this.requests = requests;
    this.check = check;
    this.timeout = timeout;
  }

  /**
   * Sends the requests and blocks until every one has a result.
   *
   * @param count how many requests to send
   * @param concurrency how many requests are in flight at once
   */
  public LoadReport run(int count, int concurrency) {
    LoadReport report = new LoadReport();
    AtomicInteger next = new AtomicInteger();
    CompletableFuture<?>[] loops = new CompletableFuture<?>[concurrency];
    for (int loop = 0; loop < concurrency; loop++) {
      loops[loop] = sendNext(report, next, count);
    }
    CompletableFuture.allOf(loops).join();
    return report;
  }

  private CompletableFuture<Void> sendNext(LoadReport report, AtomicInteger next, int count) {
    int number = next.getAndIncrement();
    if (number >= count) {
      return CompletableFuture.completedFuture(null);
    }
    LoadRequest request = requests.apply(number);
    return callers
        .get(number % callers.size())
        .send(request, timeout)
        .thenComposeAsync(
            result -> {
              report.add(request, result, check.test(request, result));
              return sendNext(report, next, count);
            });
  }
}
