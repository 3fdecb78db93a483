package org.verbenawheel.execution;

import com.google.common.collect.ImmutableList;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Asks the platform for the hosts, and orders their maintenance and moves. Safe for use by many
 * threads; never blocks. A call fails if there is no clear answer; it may be sent again.
 */
public interface HostCalls {
  /** Lists all hosts. */
  CompletableFuture<ImmutableList<Host>> list();

  /**
   * Takes a host down for its maintenance; everything on it ends at once.
   *
   * @param host the host
   * @param wave the wave that the host belongs to
   * @param authority who orders
   */
  CompletableFuture<OrderOutcome> maintain(String host, long wave, Authority authority);

  /**
   * Moves a host to another pool; everything on it ends at once.
   *
   * @param host the host
   * @param pool the pool
   * @param authority who orders
   */
  CompletableFuture<OrderOutcome> move(String host, String pool, Authority authority);

  /**
   * Who orders.
   *
   * @param holder the process that leads
   * @param fencingToken its term
   */
  record Authority(String holder, long fencingToken) {}

  /** What the platform said to an order. */
  enum OrderOutcome {
    /** The order is carried out, or was before. */
    DONE,
    /** The host is not up, or is leaving: try again later. */
    BUSY,
    /** A later leader has given an order. */
    FENCED,
    /** There is no such host, or it cannot be ordered so. */
    IMPOSSIBLE,
    /** The platform takes no order now: try again later. */
    OVERLOADED
  }

  /** What a host does. */
  enum HostState {
    /** It runs. */
    UP,
    /** It moves to another pool. */
    MOVING,
    /** It is down for its maintenance. */
    IN_MAINTENANCE,
    /** It is down. */
    DOWN
  }

  /**
   * One host.
   *
   * @param name its name
   * @param pool its pool
   * @param state what it does
   * @param worker the id of the worker that runs on it, if one does
   */
  record Host(String name, String pool, HostState state, Optional<String> worker) {}
}
