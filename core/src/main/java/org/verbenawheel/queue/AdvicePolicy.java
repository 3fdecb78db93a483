package org.verbenawheel.queue;

import java.time.Duration;

/**
 * How the placement adviser of a queue answers which workers may run a step.
 *
 * @param decisionMilliseconds how long it takes over one question
 * @param perWorkerMilliseconds how long it takes besides for each worker that it is asked about
 * @param validityMilliseconds how long a worker accepts its approval
 */
public record AdvicePolicy(
    int decisionMilliseconds, int perWorkerMilliseconds, int validityMilliseconds) {

  /**
   * Returns how long the adviser takes over one question.
   *
   * @param workers how many workers it is asked about
   */
  public Duration timeFor(int workers) {
    return Duration.ofMillis(decisionMilliseconds + (long) workers * perWorkerMilliseconds);
  }
}
