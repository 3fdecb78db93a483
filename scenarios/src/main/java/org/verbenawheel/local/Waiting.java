package org.verbenawheel.local;

import com.google.common.util.concurrent.Uninterruptibles;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/** Waits for processes and conditions without being interrupted. */
public final class Waiting {
  private static final Duration POLL_INTERVAL = Duration.ofMillis(50);

  private Waiting() {}

  /**
   * Waits until a process has ended.
   *
   * @param process the process
   * @param timeout how long to wait
   * @return whether it has ended
   */
  static boolean forEnd(Process process, Duration timeout) {
    try {
      return process.waitFor(timeout.toMillis(), TimeUnit.MILLISECONDS);
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
      return false;
    }
  }

  /**
   * Waits until a condition holds.
   *
   * @param condition asked again and again
   * @param timeout how long to wait
   * @return whether it came to hold
   */
  public static boolean until(BooleanSupplier condition, Duration timeout) {
    InstantSource clock = InstantSource.system();
    Instant end = clock.instant().plus(timeout);
    while (!condition.getAsBoolean()) {
      if (clock.instant().isAfter(end)) {
        return false;
      }
      Uninterruptibles.sleepUninterruptibly(POLL_INTERVAL);
    }
    return true;
  }
}
