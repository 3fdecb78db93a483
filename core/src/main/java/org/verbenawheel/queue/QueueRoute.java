package org.verbenawheel.queue;

import java.util.Optional;

/**
 * A queue of jobs: where callers reach it, which pool runs its jobs, and their limits.
 *
 * @param name the operators' name for the queue
 * @param host the host name that callers address
 * @param pathPrefix the path that callers address; the job's id follows it in a request
 * @param pool the pool whose workers run the queue's tasks
 * @param timeoutMilliseconds how long a caller's request may take
 * @param priority 0 is the most urgent
 * @param maximumAttempts a job fails when one of its tasks has failed this many times
 * @param stretch the factor by which a job's objective exceeds its estimated critical path
 * @param targetLatencyMilliseconds the time that the objective adds to the stretched critical path
 * @param advice the response times of the placement adviser, which must approve the workers of each
 *     step; empty if any worker of the pool may run every step
 */
public record QueueRoute(
    String name,
    String host,
    String pathPrefix,
    String pool,
    int timeoutMilliseconds,
    int priority,
    int maximumAttempts,
    double stretch,
    int targetLatencyMilliseconds,
    Optional<AdvicePolicy> advice) {

  /**
   * Returns the host name and path prefix that callers address, joined. It identifies the queue: no
   * two queues of one configuration have the same.
   */
  public String address() {
    return host + pathPrefix;
  }
}
