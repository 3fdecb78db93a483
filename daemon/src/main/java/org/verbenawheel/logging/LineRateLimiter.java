package org.verbenawheel.logging;

import java.util.concurrent.TimeUnit;

/**
 * Limits the log lines of each second of the wall clock; unused lines do not carry over to the next
 * second. Thread-safe.
 */
final class LineRateLimiter {
  private static final long MILLISECONDS_PER_SECOND = TimeUnit.SECONDS.toMillis(1);

  private final int linesPerSecond;
  private long countedSecond = Long.MIN_VALUE;
  private int grantedLines;

  LineRateLimiter(int linesPerSecond) {
    this.linesPerSecond = linesPerSecond;
  }

  /**
   * Counts a line, unless the limit of its second is reached.
   *
   * @param nowMilliseconds the wall clock in milliseconds since 1970; may step back
   * @return whether the line may be written
   */
  synchronized boolean tryAcquire(long nowMilliseconds) {
    long currentSecond = Math.floorDiv(nowMilliseconds, MILLISECONDS_PER_SECOND);
    if (currentSecond != countedSecond) {
      countedSecond = currentSecond;
      grantedLines = 0;
    }
    if (grantedLines >= linesPerSecond) {
      return false;
    }
    grantedLines++;
    return true;
  }
}
