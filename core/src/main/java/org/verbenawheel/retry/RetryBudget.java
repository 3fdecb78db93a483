package org.verbenawheel.retry;

/**
 * Limits the retries of one service to a share of its first attempts.
 *
 * <p>A limit per request would multiply the load of a service whose endpoints all fail; a share of
 * the live traffic does not. Not thread-safe.
 */
public final class RetryBudget {
  private static final double MAXIMUM_AVAILABLE_RETRIES = 10;

  private double share;
  private double availableRetries = MAXIMUM_AVAILABLE_RETRIES;

  /**
   * Creates a budget that starts full.
   *
   * @param share the retries earned by each first attempt, from 0 to 1; 0 allows no retries
   */
  public RetryBudget(double share) {
    this.share = share;
  }

  /**
   * Changes the share for later first attempts; retries already earned remain.
   *
   * @param newShare the retries earned by each first attempt, from 0 to 1; 0 allows no retries
   */
  public void changeShare(double newShare) {
    share = newShare;
  }

  /** Adds the retries that a first attempt earns. */
  public void addFirstAttempt() {
    availableRetries = Math.min(MAXIMUM_AVAILABLE_RETRIES, availableRetries + share);
  }

  /** Takes one retry from the budget. Returns false if none is left. */
  public boolean tryTakeRetry() {
    if (share <= 0 || availableRetries < 1) {
      return false;
    }
    availableRetries--;
    return true;
  }
}
