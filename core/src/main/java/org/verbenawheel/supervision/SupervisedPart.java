package org.verbenawheel.supervision;

import java.time.Duration;

/** A component of a process that a {@link Supervisor} starts, restarts and stops. */
public interface SupervisedPart {
  /** Returns the name of this part in logs and dumps. */
  String name();

  /**
   * Starts this part. May be called again after each {@link #stop}.
   *
   * @param failures receives failures that happen after the start, on any thread
   * @throws PartFailedException if the part cannot start
   */
  void start(FailureListener failures) throws PartFailedException;

  /**
   * Stops this part gracefully: accepts no new work, completes work in flight, releases resources.
   * Does nothing if the part is not started.
   *
   * @param grace the maximum time for work in flight to complete
   */
  void stop(Duration grace);
}
