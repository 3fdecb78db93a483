package org.verbenawheel.fake;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.verbenawheel.load.CallerClient;
import org.verbenawheel.load.LoadRequest;

/**
 * Chooses an entry for each new request, in turns, out of those that said last that they are ready;
 * asks them at a fixed interval, as the platform's balancer does.
 */
public final class FakeBalancer implements AutoCloseable {
  private static final Duration ASK_TIMEOUT = Duration.ofSeconds(2);
  private static final long INTERVAL_MILLISECONDS = 200;

  private final ImmutableList<CallerClient> entries;
  private final boolean[] ready;
  private final AtomicInteger turn = new AtomicInteger();
  private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();

  /**
   * Begins to ask the entries.
   *
   * @param entries one caller for each entry
   */
  public FakeBalancer(ImmutableList<CallerClient> entries) {
    this.entries = entries;
    this.ready = new boolean[entries.size()];
    askAll();
    var unused =
        timer.scheduleWithFixedDelay(
            this::askAll, INTERVAL_MILLISECONDS, INTERVAL_MILLISECONDS, TimeUnit.MILLISECONDS);
  }

  /**
   * Returns the caller of the entry for the next request.
   *
   * @throws IllegalStateException if no entry is ready
   */
  public synchronized CallerClient next() {
    for (int tried = 0; tried < ready.length; tried++) {
      int entry = Math.floorMod(turn.getAndIncrement(), ready.length);
      if (ready[entry]) {
        return entries.get(entry);
      }
    }
    throw new IllegalStateException("no entry is ready");
  }

  @Override
  public void close() {
    timer.shutdownNow();
  }

  private void askAll() {
    for (int entry = 0; entry < ready.length; entry++) {
      boolean answer =
          entries.get(entry).send(LoadRequest.get("/health/ready", 0), ASK_TIMEOUT).join().status()
              == 200;
      synchronized (this) {
        ready[entry] = answer;
      }
    }
  }
}
