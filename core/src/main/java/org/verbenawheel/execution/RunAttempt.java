package org.verbenawheel.execution;

import java.time.Instant;

/** What the leader knows of one order to start a run. */
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
   * Returns whether a run that a listing lacks is gone for good.
   *
   * @param lookToken the fencing token of the look that brought the listing
   * @param lookSentAt when the look was sent
   */
  boolean isGoneIfUnlisted(long lookToken, Instant lookSentAt) {
    if (!sent) {
      return false;
    }
    // A worker that has seen a higher token refuses the order should it still arrive.
    return lookToken > fencingToken || (confirmed && lookSentAt.isAfter(confirmedAt));
  }
}
