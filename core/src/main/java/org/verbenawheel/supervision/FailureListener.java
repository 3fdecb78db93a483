package org.verbenawheel.supervision;

/** Hears of the failure of a part. Safe for use by many threads; never blocks. */
@FunctionalInterface
public interface FailureListener {
  /**
   * Takes the failure of one part.
   *
   * @param failure what happened
   */
  void onFailure(PartFailedException failure);
}
