package org.verbenawheel.queue;

import com.google.common.collect.ImmutableList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * One version of the operators' configuration.
 *
 * @param version numbers the operators' changes; the highest is in force
 * @param queues all queues
 * @param pools all pools
 * @param document the text that the operators sent, for reading it back
 */
public record FleetConfiguration(
    long version,
    ImmutableList<QueueRoute> queues,
    ImmutableList<WorkerPool> pools,
    String document) {

  /** Returns what makes the configuration unusable; empty if nothing does. */
  public ImmutableList<String> problems() {
    ImmutableList.Builder<String> problems = ImmutableList.builder();
    Set<String> poolNames = pools.stream().map(WorkerPool::name).collect(Collectors.toSet());
    Set<String> places = new HashSet<>();
    for (QueueRoute queue : queues) {
      if (!poolNames.contains(queue.pool())) {
        problems.add("queue " + queue.name() + ": no pool is named " + queue.pool());
      }
      if (!places.add(queue.place())) {
        problems.add("queue " + queue.name() + ": another queue has its host and path prefix");
      }
      if (queue.timeoutMilliseconds() <= 0) {
        problems.add("queue " + queue.name() + ": the timeout must be at least 1 ms");
      }
    }
    return problems.build();
  }

  /**
   * Returns the queue that a request addresses: the one with the longest matching prefix.
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
   * Returns the queue at a place.
   *
   * @param place what {@link QueueRoute#place} returned
   */
  public Optional<QueueRoute> queueAt(String place) {
    return queues.stream().filter(queue -> queue.place().equals(place)).findFirst();
  }

  /**
   * Returns whether the hosts of a pool are off.
   *
   * @param pool the pool's name
   */
  public boolean isStandby(String pool) {
    return pools.stream().anyMatch(present -> present.name().equals(pool) && present.standby());
  }
}
