package org.verbenawheel.load;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BiPredicate;
import java.util.function.IntFunction;

/** Sends a fixed number of requests, each caller waiting for its answer before the next. */
public final class ClosedLoop {
  private final ImmutableList<CallerClient> callers;
  private final IntFunction<LoadRequest> requests;
  private final BiPredicate<LoadRequest, CallerResult> check;
  private final Duration timeout;

  /**
   * Makes a load.
   *
   * @param callers the callers, used in turns
   * @param requests gives the request of each number
   * @param check says whether an answer is whole and right
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
   * Runs the load to its end.
   *
   * @param count how many requests to send
   * @param concurrency how many callers wait at once
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
