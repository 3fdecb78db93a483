package org.verbenawheel.execution;

import org.verbenawheel.request.RunVerdict;

/** Thrown when a worker gave no clear answer; its verdict says whether it may have obeyed. */
public final class WorkerCallException extends Exception {
  private static final long serialVersionUID = 1L;

  /** Why there is no answer. */
  public enum Reason {
    /** No connection, or none that carried an answer in time. */
    UNREACHABLE,
    /** Another worker, or another life, answers at the address. */
    OTHER_WORKER,
    /** The worker has seen a higher fencing token. */
    FENCED,
    /** The worker says that it is not well, or its answer cannot be read. */
    UNHEALTHY
  }

  private final Reason reason;
  private final RunVerdict verdict;

  /**
   * Makes the exception.
   *
   * @param reason why there is no answer
   * @param verdict {@link RunVerdict#NOT_RUN} if the worker has not obeyed and never will
   * @param message what went wrong
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

  /** Returns whether the worker may have obeyed, or may yet. */
  public RunVerdict verdict() {
    return verdict;
  }
}
