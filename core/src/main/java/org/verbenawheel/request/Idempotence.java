package org.verbenawheel.request;

/** Says whether running a request twice is harmless. */
public enum Idempotence {
  /** Running the request twice has the effect of running it once. */
  IDEMPOTENT {
    @Override
    public boolean mayBeSentAgainAfter(RunVerdict verdict) {
      return verdict != RunVerdict.RAN;
    }
  },
  /** Running the request twice does harm: a second casting order, a second filing. */
  NON_IDEMPOTENT {
    @Override
    public boolean mayBeSentAgainAfter(RunVerdict verdict) {
      return verdict == RunVerdict.NOT_RUN;
    }
  };

  /**
   * Returns whether a request of this kind may be sent again after an attempt with that verdict.
   *
   * @param verdict what is known about the attempt
   */
  public abstract boolean mayBeSentAgainAfter(RunVerdict verdict);
}
