package org.verbenawheel.request;

/**
 * Whether an endpoint ran an attempt at a request, as far as is known.
 *
 * <p>The component that sends an attempt to an endpoint, and no other, turns a failure into a
 * verdict: {@link #NOT_RUN} if there was no connection; {@link #MAY_HAVE_RUN} once any byte was
 * handed to the connection, unless the endpoint itself reports otherwise. Every refusal carries its
 * verdict to the caller.
 */
public enum RunVerdict {
  /** No endpoint ran the request, and none will. */
  NOT_RUN,
  /** An endpoint ran the request to completion. */
  RAN,
  /** An endpoint may have run the request, may be running it now, or may still run it. */
  MAY_HAVE_RUN;

  /** The HTTP header that carries the verdict on every answer and refusal. */
  public static final String HEADER = "Verbenawheel-Verdict";

  /**
   * Returns whether a request may be sent again after an attempt with this verdict.
   *
   * @param idempotence whether the request may safely run twice
   */
  public boolean mayBeSentAgain(Idempotence idempotence) {
    return idempotence.allowsResendAfter(this);
  }

  /**
   * Returns the verdict of a request that had this attempt and another one: the stronger of the
   * two.
   *
   * @param other the verdict of another attempt at the same request
   */
  public RunVerdict combine(RunVerdict other) {
    if (this == RAN || other == RAN) {
      return RAN;
    }
    return this == NOT_RUN ? other : this;
  }
}
