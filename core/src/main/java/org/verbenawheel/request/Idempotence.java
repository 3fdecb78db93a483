package org.verbenawheel.request;

/** Whether a request may safely run twice. */
public enum Idempotence {
  /** Running the request twice has the effect of running it once. */
  IDEMPOTENT {
    @Override
    public boolean allowsResendAfter(RunVerdict verdict) {
      return verdict != RunVerdict.RAN;
    }
  },
  /** Running the request twice does harm, such as a second casting order or a second filing. */
  NON_IDEMPOTENT {
    @Override
    public boolean allowsResendAfter(RunVerdict verdict) {
      return verdict == RunVerdict.NOT_RUN;
    }
  };

  /**
   * Returns whether the request may be sent again after an attempt with this verdict.
   *
   * @param verdict whether the attempt ran, as far as is known
   */
  public abstract boolean allowsResendAfter(RunVerdict verdict);
}
