package org.verbenawheel.execution;

import java.time.Instant;

/**
 * Tracks one order to start a run: whether it was sent, with which fencing token, and whether the
 * worker confirmed it.
 */
final class RunAttempt {
  private final int run;
  private boolean sent;
  private boolean confirmed;
  private long fencingToken;
  private Instant confirmedAt = Instant.MAX;

  RunAttempt(int run) {
    this.run = run;
  }

  int run() {
    return run;
  }

  void onSent(long token) {
    sent = true;
    fencingToken = token;
  }

  void onConfirmed(Instant now) {
    confirmed = true;
    confirmedAt = now;
  }

  /**
   * Returns whether a run that a listing lacks can never appear on the worker.
   *
   * @param pollToken the fencing token of the poll that returned the listing
   * @param pollSentAt when that poll was sent
   */
  boolean cannotAppearIfUnlisted(long pollToken, Instant pollSentAt) {
    if (!sent) {
      return false;
    }
    // A worker that has seen a higher token refuses the start order if it still arrives.
    return pollToken > fencingToken || (confirmed && pollSentAt.isAfter(confirmedAt));
  }
}
