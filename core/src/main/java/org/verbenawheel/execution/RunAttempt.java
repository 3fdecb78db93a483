package org.verbenawheel.execution;

import java.time.Instant;
import java.util.Optional;
import org.verbenawheel.worker.Worker;

/**
 * Tracks one order to start a run: whether it was sent, with which fencing token, and whether the
 * worker confirmed or refused it.
 */
final class RunAttempt {
  private final int run;
  private boolean sent;
  private boolean confirmed;
  private Optional<Worker> worker = Optional.empty();
  private long fencingToken;
  private Instant confirmedAt = Instant.MAX;
  private Optional<ReleaseProof> notStartedProof = Optional.empty();

  RunAttempt(int run) {
    this.run = run;
  }

  int run() {
    return run;
  }

  /** Returns the incarnation that the start order was sent to; empty if it was not sent. */
  Optional<Worker> worker() {
    return worker;
  }

  /** Returns the fencing token of the start order. */
  long fencingToken() {
    return fencingToken;
  }

  /** Records that the start order was sent to an incarnation of the worker. */
  void onSent(Worker addressee, long token) {
    sent = true;
    worker = Optional.of(addressee);
    fencingToken = token;
  }

  void onConfirmed(Instant now) {
    confirmed = true;
    confirmedAt = now;
  }

  /** Records why the order has not started the run and never will. */
  void onNotStarted(ReleaseProof proof) {
    notStartedProof = Optional.of(proof);
  }

  /**
   * Returns why a run that a listing lacks can never appear on the worker; empty if it can.
   *
   * @param pollToken the fencing token of the poll that returned the listing
   * @param pollSentAt when that poll was sent
   */
  Optional<ReleaseProof> proofIfUnlisted(long pollToken, Instant pollSentAt) {
    if (notStartedProof.isPresent()) {
      return notStartedProof;
    }
    if (!sent) {
      return Optional.empty();
    }
    if (pollToken > fencingToken) {
      return Optional.of(ReleaseProof.FENCED);
    }
    return confirmed && pollSentAt.isAfter(confirmedAt)
        ? Optional.of(ReleaseProof.GONE)
        : Optional.empty();
  }
}
