package org.verbenawheel.supervision;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;

/** Counts restarts within a window; beyond the limit a supervisor gives up. Not thread-safe. */
public final class RestartLimit {
  private final int maximumRestarts;
  private final Duration window;
  private final Deque<Instant> restarts = new ArrayDeque<>();

  /**
   * Makes a limit.
   *
   * @param maximumRestarts how many restarts a window may hold
   * @param window how long a restart counts
   */
  public RestartLimit(int maximumRestarts, Duration window) {
    this.maximumRestarts = maximumRestarts;
    this.window = window;
  }

  /**
   * Counts one restart if the limit allows it.
   *
   * @param now the present moment
   * @return whether the restart is within the limit
   */
  public boolean tryRestart(Instant now) {
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
