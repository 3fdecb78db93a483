package org.verbenawheel.queue;

import java.time.Duration;

/**
 * The response times of a queue's placement adviser, which approves the workers that may run a
 * step.
 *
 * @param decisionMilliseconds the fixed part of the time that the adviser takes for one request
 * @param perWorkerMilliseconds the additional time for each worker that the request names
 * @param validityMilliseconds how long a worker accepts an approval
 */
public record AdvicePolicy(
    int decisionMilliseconds, int perWorkerMilliseconds, int validityMilliseconds) {

  /**
   * Returns how long the adviser takes for one request.
   *
   * @param workers how many workers the request names
   */
  public Duration expectedDuration(int workers) {
    return Duration.ofMillis(decisionMilliseconds + (long) workers * perWorkerMilliseconds);
  }
}
