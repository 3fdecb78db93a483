package org.verbenawheel.retry;

/**
 * Bounds the retries of one service to a share of its first attempts.
 *
 * <p>A count for each request would multiply the load of a service whose every endpoint fails; a
 * share of live traffic does not. Not safe for use by many threads.
 */
public final class RetryBudget {
  private static final double MAXIMUM_SAVED_RETRIES = 10;

  private double share;
  private double savedRetries = MAXIMUM_SAVED_RETRIES;

  /**
   * Makes a budget.
   *
   * @param share retries allowed for each first attempt, 0 to 1
   */
  public RetryBudget(double share) {
    this.share = share;
  }

  /**
   * Changes the share.
   *
   * @param newShare retries allowed for each first attempt, 0 to 1
   */
  public void changeShare(double newShare) {
    share = newShare;
  }

  /** Counts a first attempt. */
  public void addFirstAttempt() {
    savedRetries = Math.min(MAXIMUM_SAVED_RETRIES, savedRetries + share);
  }

  /** Returns whether a retry is allowed, and counts it if so. */
  public boolean takeRetry() {
    if (share <= 0 || savedRetries < 1) {
      return false;
    }
    savedRetries--;
    return true;
  }
}
