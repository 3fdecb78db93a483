package org.verbenawheel.worker;

import com.google.common.collect.ImmutableList;

/**
 * One life of a worker. A worker that restarts under its id knows nothing of what it ran before.
 *
 * @param id the worker's id
 * @param bornAtMilliseconds when this life began, in milliseconds since 1970 by the worker's clock
 * @param host the host that it runs on; empty if it does not say
 * @param pool the pool that it belongs to
 * @param address where it takes commands, as {@code ip:port}
 * @param zone its availability zone
 * @param capacity what it has for tasks
 * @param labels its kind and its rack
 * @param draining whether it takes no new tasks because it is about to leave
 */
public record Worker(
    String id,
    long bornAtMilliseconds,
    String host,
    String pool,
    String address,
    String zone,
    Capacity capacity,
    ImmutableList<String> labels,
    boolean draining) {

  /**
   * What tasks may use at the same time.
   *
   * @param cpuMillicores processor time, in thousandths of a core
   * @param memoryMegabytes memory
   * @param accelerators whole accelerators
   */
  public record Capacity(int cpuMillicores, int memoryMegabytes, int accelerators) {}

  /**
   * Returns whether this is the same life as another.
   *
   * @param other the life to compare
   */
  public boolean isSameLife(Worker other) {
    return id.equals(other.id) && bornAtMilliseconds == other.bornAtMilliseconds;
  }

  /**
   * Returns another life of this worker.
   *
   * @param born when it began
   */
  public Worker bornAt(long born) {
    return new Worker(id, born, host, pool, address, zone, capacity, labels, draining);
  }

  /** Returns the rack, which is the last label; empty if the worker names none. */
  public String rack() {
    return labels.size() < 2 ? "" : labels.get(labels.size() - 1);
  }
}
