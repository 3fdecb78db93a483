package org.verbenawheel.request;

/**
 * Says what is known about whether an attempt at a request was run by an endpoint.
 *
 * <p>The one place on the path that knows turns a failure into a verdict: no connection is {@link
 * #NOT_RUN}; any byte handed to the connection is {@link #MAY_HAVE_RUN}, unless the endpoint itself
 * says otherwise. Every refusal carries its verdict to the caller.
 */
public enum RunVerdict {
  /** No endpoint ran the request, and none will. */
  NOT_RUN,
  /** An endpoint ran the request to its end. */
  RAN,
  /** An endpoint may have run the request, may be running it, or may yet run it. */
  MAY_HAVE_RUN;

  /** The HTTP header that carries the verdict on every answer and refusal. */
  public static final String HEADER = "Verbenawheel-Verdict";

  /**
   * Returns whether a request may be sent again after an attempt with this verdict.
   *
   * @param idempotence whether running the request twice is harmless
   */
  public boolean mayBeSentAgain(Idempotence idempotence) {
    return idempotence.mayBeSentAgainAfter(this);
  }

  /**
   * Returns what is known about a request after this attempt and another one.
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
