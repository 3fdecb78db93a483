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
 * Distributes requests round robin over the entries whose last readiness check succeeded; checks
 * each entry at a fixed interval, as the platform's balancer does.
 */
public final class FakeBalancer implements AutoCloseable {
  private static final Duration PROBE_TIMEOUT = Duration.ofSeconds(2);
  private static final long PROBE_INTERVAL_MILLISECONDS = 200;

  private final ImmutableList<CallerClient> entries;
  private final boolean[] ready;
  private final AtomicInteger nextEntry = new AtomicInteger();
  private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();

  /**
   * Checks every entry once and starts the periodic readiness checks.
   *
   * @param entries one client for each entry
   */
  public FakeBalancer(ImmutableList<CallerClient> entries) {
    this.entries = entries;
    this.ready = new boolean[entries.size()];
    probeAll();
    var unused =
        timer.scheduleWithFixedDelay(
            this::probeAll,
            PROBE_INTERVAL_MILLISECONDS,
            PROBE_INTERVAL_MILLISECONDS,
            TimeUnit.MILLISECONDS);
  }

  /**
   * Returns the client of the entry that gets the next request.
   *
   * @throws IllegalStateException if no entry is ready
   */
  public synchronized CallerClient next() {
    for (int attempt = 0; attempt < ready.length; attempt++) {
      int entry = Math.floorMod(nextEntry.getAndIncrement(), ready.length);
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

  private void probeAll() {
    for (int entry = 0; entry < ready.length; entry++) {
      boolean isReady =
          entries
                  .get(entry)
                  .send(LoadRequest.get("/health/ready", 0), PROBE_TIMEOUT)
                  .join()
                  .status()
              == 200;
      synchronized (this) {
        ready[entry] = isReady;
      }
    }
  }
}
