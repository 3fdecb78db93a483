package org.verbenawheel.local;

import com.google.common.util.concurrent.Uninterruptibles;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/** Blocks the calling thread until a process exits or a condition holds. */
public final class Waiting {
  private static final Duration POLL_INTERVAL = Duration.ofMillis(50);

  private Waiting() {}

  /**
   * Waits until a process has exited.
   *
   * @param timeout how long to wait
   * @return whether it has exited; false too if the thread is interrupted, which ends the wait
   */
  static boolean forExit(Process process, Duration timeout) {
    try {
      return process.waitFor(timeout.toMillis(), TimeUnit.MILLISECONDS);
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
      return false;
    }
  }

  /**
   * Polls a condition until it holds; interrupts do not end the wait.
   *
   * @param condition evaluated on the calling thread
   * @param timeout how long to wait
   * @return whether the condition held within the timeout
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
