package org.verbenawheel.queue;

import com.google.common.collect.ImmutableList;
import java.util.HashSet;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * One version of the operators' configuration of queues and pools; {@link QueueIndex} finds a
 * queue.
 *
 * @param version the number of the operators' change; the highest version is in force
 * @param queues all queues
 * @param pools all pools
 * @param document the text that the operators sent, returned unchanged when they read it
 */
public record FleetConfiguration(
    long version,
    ImmutableList<QueueRoute> queues,
    ImmutableList<WorkerPool> pools,
    String document) {

  /** Returns an error message for each invalid value; empty if the configuration is valid. */
  public ImmutableList<String> problems() {
    ImmutableList.Builder<String> problems = ImmutableList.builder();
    Set<String> poolNames = pools.stream().map(WorkerPool::name).collect(Collectors.toSet());
    Set<String> addresses = new HashSet<>();
    for (QueueRoute queue : queues) {
      if (!poolNames.contains(queue.pool())) {
        problems.add("queue " + queue.name() + ": the configuration has no pool " + queue.pool());
      }
      if (!addresses.add(queue.address())) {
        problems.add("queue " + queue.name() + ": another queue has the same host and path prefix");
      }
      if (queue.timeoutMilliseconds() <= 0) {
        problems.add("queue " + queue.name() + ": the timeout must be at least 1 ms");
      }
    }
    return problems.build();
  }

  /**
   * Returns whether a pool is a standby pool, whose hosts are off.
   *
   * @param pool the pool's name
   */
  public boolean isStandby(String pool) {
    return pools.stream()
        .anyMatch(candidate -> candidate.name().equals(pool) && candidate.standby());
  }
}
