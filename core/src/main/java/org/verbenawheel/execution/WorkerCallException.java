package org.verbenawheel.execution;

import org.verbenawheel.request.RunVerdict;

/**
 * Thrown when a worker gave no definite answer to an order; the verdict says whether the order may
 * have been carried out.
 */
public final class WorkerCallException extends Exception {
  private static final long serialVersionUID = 1L;

  /** Why there is no answer. */
  public enum Reason {
    /** There is no connection, or none that carried an answer in time. */
    UNREACHABLE,
    /** Another worker, or another incarnation of the worker, answers at the address. */
    OTHER_WORKER,
    /** The worker has seen a higher fencing token. */
    FENCED,
    /** The worker reported that it is unhealthy, or its answer cannot be read. */
    UNHEALTHY
  }

  private final Reason reason;
  private final RunVerdict verdict;

  /**
   * Creates an exception for one order.
   *
   * @param reason why there is no answer
   * @param verdict {@link RunVerdict#NOT_RUN} if the order was not carried out and never will be
   * @param message what went wrong, for logs
   */
  public WorkerCallException(Reason reason, RunVerdict verdict, String message) {
    super(message);
    this.reason = reason;
    this.verdict = verdict;
  }

  /** Returns why there is no answer. */
  public Reason reason() {
    return reason;
  }

  /** Returns whether the worker may have carried out the order, or may still do so. */
  public RunVerdict verdict() {
    return verdict;
  }
}
