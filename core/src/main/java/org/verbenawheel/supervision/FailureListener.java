package org.verbenawheel.supervision;

/** Receives the failures of running parts. Implementations are thread-safe and never block. */
@FunctionalInterface
public interface FailureListener {
  /**
   * Called when a part fails after its start, on any thread.
   *
   * @param failure the part, the reason, and what the operator can try
   */
  void onFailure(PartFailedException failure);
}
