package org.verbenawheel.execution;

import org.verbenawheel.job.RunEnding;

/** Why a bound run is released although its worker listed no end of it. */
enum ReleaseProof {
  /** No start order was sent. */
  NOT_SENT(RunEnding.NOT_STARTED),
  /** The worker refused the start order, or the order never left this process. */
  REFUSED(RunEnding.NOT_STARTED),
  /** A listing lacks the run, and the worker refuses its start order by the fencing token. */
  FENCED(RunEnding.NOT_STARTED),
  /**
   * The worker confirmed the start or the stop, and a listing that was requested later lacks it.
   */
  GONE(RunEnding.NOT_STARTED),
  /** Every lease of the worker has expired. */
  LEASES_EXPIRED(RunEnding.LAPSED),
  /** A later incarnation of the worker announced its end. */
  WORKER_LEFT(RunEnding.LAPSED),
  /** Another worker answers at the worker's address. */
  ADDRESS_TAKEN(RunEnding.LAPSED),
  /** Another source says that the worker has ended, and a poll failed. */
  CLAIM_UNANSWERED(RunEnding.LAPSED),
  /** The worker was forgotten while the binding was being committed. */
  WORKER_FORGOTTEN(RunEnding.LAPSED);

  private final RunEnding ending;

  ReleaseProof(RunEnding ending) {
    this.ending = ending;
  }

  /** Returns how a run that is released on this proof has ended. */
  RunEnding ending() {
    return ending;
  }
}
