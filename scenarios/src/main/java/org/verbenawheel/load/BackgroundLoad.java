package org.verbenawheel.load;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BiPredicate;
import java.util.function.IntFunction;

/** Sends requests one after the other from several callers until it is stopped. */
public final class BackgroundLoad {
  private final IntFunction<CallerClient> callers;
  private final IntFunction<LoadRequest> requests;
  private final BiPredicate<LoadRequest, CallerResult> check;
  private final Duration timeout;
  private final LoadReport report = new LoadReport();
  private final AtomicInteger next = new AtomicInteger();
  private final CompletableFuture<Void> loops;
  private volatile boolean stopping;

  /**
   * Begins to send.
   *
   * @param concurrency how many callers wait at once
   * @param callers gives the caller for the request of each number
   * @param requests gives the request of each number
   * @param check says whether an answer is whole and right
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

  /** Returns what came back so far. */
  public LoadReport report() {
    return report;
  }

  /** Sends nothing more, waits for the answers to come and returns all that came back. */
  public LoadReport stop() {
    stopping = true;
    loops.join();
    return report;
  }

  private CompletableFuture<Void> sendNext() {
    if (stopping) {
      return CompletableFuture.completedFuture(null);
    }
    int number = next.getAndIncrement();
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
