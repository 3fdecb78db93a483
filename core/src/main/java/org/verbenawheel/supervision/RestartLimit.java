package org.verbenawheel.supervision;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Limits the restarts within a sliding time window. A supervisor that reaches the limit stops its
 * parts and reports the failure to its parent. Not thread-safe.
 */
public final class RestartLimit {
  private final int maximumRestarts;
  private final Duration window;
  private final Deque<Instant> restarts = new ArrayDeque<>();

  /**
   * Creates a limit.
   *
   * @param maximumRestarts the maximum number of restarts within the window
   * @param window how long a restart counts towards the limit
   */
  public RestartLimit(int maximumRestarts, Duration window) {
    this.maximumRestarts = maximumRestarts;
    this.window = window;
  }

  /**
   * Returns whether one more restart is within the limit, and counts it if so.
   *
   * @param now the current instant
   */
  public boolean tryAcquire(Instant now) {
    Instant windowStart = now.minus(window);
    while (!restarts.isEmpty() && restarts.getFirst().isBefore(windowStart)) {
      restarts.removeFirst();
    }
    if (restarts.size() >= maximumRestarts) {
      return false;
    }
    restarts.addLast(now);
    return true;
  }
}
