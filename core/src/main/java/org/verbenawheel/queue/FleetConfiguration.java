package org.verbenawheel.queue;

import com.google.common.collect.ImmutableList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * One version of the operators' configuration of queues and pools.
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
   * Returns the queue that a request addresses: the one with the longest matching path prefix. Host
   * names match in any case.
   *
   * @param host the host name, without a port
   * @param path the path of the request
   */
  public Optional<QueueRoute> queueFor(String host, String path) {
    return queues.stream()
        .filter(queue -> queue.host().equalsIgnoreCase(host) && path.startsWith(queue.pathPrefix()))
        .max(Comparator.comparingInt(queue -> queue.pathPrefix().length()));
  }

  /**
   * Returns the queue with an address.
   *
   * @param address the host name and path prefix, see {@link QueueRoute#address}
   */
  public Optional<QueueRoute> queueWithAddress(String address) {
    return queues.stream().filter(queue -> queue.address().equals(address)).findFirst();
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
