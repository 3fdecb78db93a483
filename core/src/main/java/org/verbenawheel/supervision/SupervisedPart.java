package org.verbenawheel.supervision;

import java.time.Duration;

/** One part of a process that a {@link Supervisor} starts, restarts and stops. */
public interface SupervisedPart {
  /** Returns the name of this part in logs and dumps. */
  String name();

  /**
   * Starts this part. Called again after each stop.
   *
   * @param failures where the part reports a failure that happens later, on any thread
   * @throws PartFailedException if the part cannot start
   */
  void start(FailureListener failures) throws PartFailedException;

  /**
   * Stops this part in order: takes no new work, ends what is in flight, frees what it holds. Does
   * nothing if the part is not started.
   *
   * @param grace how long work in flight may take to end
   */
  void stop(Duration grace);
}
