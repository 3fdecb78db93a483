package org.verbenawheel.execution;

import java.util.Optional;
import org.verbenawheel.request.RunVerdict;
import org.verbenawheel.worker.Worker;

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
    /** Another worker answers at the address. */
    OTHER_WORKER,
    /** Another incarnation of the worker answers at the address. */
    OTHER_INCARNATION,
    /** The worker has seen a higher fencing token. */
    FENCED,
    /** The worker reported that it is unhealthy, or its answer cannot be read. */
    UNHEALTHY
  }

  private final Reason reason;
  private final RunVerdict verdict;
  private final long bornAtMilliseconds;

  /**
   * Creates an exception for one order.
   *
   * @param reason why there is no answer
   * @param verdict {@link RunVerdict#NOT_RUN} if the order was not carried out and never will be
   * @param message what went wrong, for logs
   */
  public WorkerCallException(Reason reason, RunVerdict verdict, String message) {
    this(reason, verdict, message, 0);
  }

  private WorkerCallException(
      Reason reason, RunVerdict verdict, String message, long bornAtMilliseconds) {
    super(message);
    this.reason = reason;
    this.verdict = verdict;
    this.bornAtMilliseconds = bornAtMilliseconds;
  }

  /**
   * Returns the failure of an order that was not sent, because another incarnation answered.
   *
   * @param intended the incarnation that the order was meant for
   * @param bornAtMilliseconds when the incarnation that answered was started, as in {@link Worker}
   */
  public static WorkerCallException otherIncarnation(Worker intended, long bornAtMilliseconds) {
    return new WorkerCallException(
        Reason.OTHER_INCARNATION,
        RunVerdict.NOT_RUN,
        "the incarnation of " + bornAtMilliseconds + " answered at " + intended.address(),
        bornAtMilliseconds);
  }

  /** Returns why there is no answer. */
  public Reason reason() {
    return reason;
  }

  /** Returns when the other incarnation was started, if that is the reason. */
  public Optional<Long> otherBornAtMilliseconds() {
    return reason == Reason.OTHER_INCARNATION ? Optional.of(bornAtMilliseconds) : Optional.empty();
  }

  /** Returns whether the worker may have carried out the order, or may still do so. */
  public RunVerdict verdict() {
    return verdict;
  }
}
