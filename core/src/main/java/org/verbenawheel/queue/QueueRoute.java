package org.verbenawheel.queue;

import java.util.Optional;

/**
 * A queue of jobs, and the pool whose workers run them.
 *
 * @param name the operators' name for the queue
 * @param host the host name that callers address
 * @param pathPrefix the path that callers address; the job's id follows it
 * @param pool the pool whose workers run the queue's tasks
 * @param timeoutMilliseconds how long a caller's request may take
 * @param priority 0 is the most urgent
 * @param maximumAttempts after so many failures of one task its job has failed
 * @param stretch the objective's factor on the job's longest chain of work
 * @param targetLatencyMilliseconds what the objective adds to the stretched chain
 * @param advice how the placement adviser answers, which must approve the workers of each step;
 *     empty if any worker of the pool may run them
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

  /** Returns what callers address; no two queues of one configuration share it. */
  public String place() {
    return host + pathPrefix;
  }
}
