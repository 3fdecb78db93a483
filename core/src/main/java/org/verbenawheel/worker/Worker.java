package org.verbenawheel.worker;

import com.google.common.collect.ImmutableList;

/**
 * One incarnation of a worker: its identity, place and capacity. A worker that restarts under its
 * id keeps no record of what it ran before.
 *
 * @param id the worker's id
 * @param bornAtMilliseconds when this incarnation started, in milliseconds since 1970 by the
 *     worker's clock; 0 if the worker does not report it
 * @param host the host that it runs on; empty if the worker does not report one
 * @param pool the pool that it belongs to
 * @param address where it accepts commands, as {@code ip:port}
 * @param zone its availability zone
 * @param capacity the resources that its tasks share
 * @param labels its kind and its rack
 * @param draining whether it accepts no new tasks because it is about to stop
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
   * The resources that all tasks of a worker may use together.
   *
   * @param cpuMillicores processor time, in thousandths of a core
   * @param memoryMegabytes memory, in megabytes
   * @param accelerators whole accelerators
   */
  public record Capacity(int cpuMillicores, int memoryMegabytes, int accelerators) {}

  /**
   * Returns whether both are the same incarnation of the same worker.
   *
   * @param other the incarnation to compare
   */
  public boolean isSameIncarnation(Worker other) {
    return id.equals(other.id) && bornAtMilliseconds == other.bornAtMilliseconds;
  }

  /**
   * Returns this worker with another incarnation.
   *
   * @param born when that incarnation started, in milliseconds since 1970 by the worker's clock
   */
  public Worker withBornAtMilliseconds(long born) {
    return new Worker(id, born, host, pool, address, zone, capacity, labels, draining);
  }

  /** Returns the rack, which is the last label; empty if there are fewer than two labels. */
  public String rack() {
    return labels.size() < 2 ? "" : labels.get(labels.size() - 1);
  }
}
