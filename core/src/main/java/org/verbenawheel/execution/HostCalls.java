package org.verbenawheel.execution;

import com.google.common.collect.ImmutableList;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;

/**
 * Lists the platform's hosts, and orders their maintenance and their moves. Thread-safe; never
 * blocks. A call fails if there is no definite answer; it may then be sent again.
 */
public interface HostCalls {
  /** Lists all hosts. */
  CompletableFuture<ImmutableList<Host>> list();

  /**
   * Takes a host down for its maintenance. Everything that runs on it ends at once.
   *
   * @param host the host
   * @param wave the wave that the host belongs to
   * @param orderIssuer the process that gives the order
   */
  CompletableFuture<OrderOutcome> maintain(String host, long wave, OrderIssuer orderIssuer);

  /**
   * Moves a host to another pool. Everything that runs on it ends at once.
   *
   * @param host the host
   * @param pool the pool that the host joins
   * @param orderIssuer the process that gives the order
   */
  CompletableFuture<OrderOutcome> move(String host, String pool, OrderIssuer orderIssuer);

  /**
   * The process that gives an order.
   *
   * @param holder the name of the leading process
   * @param fencingToken the term that it leads
   * @param mayOrder whether the process may still give orders; thread-safe, to be asked when an
   *     order leaves, since it may have waited for a connection
   */
  record OrderIssuer(String holder, long fencingToken, BooleanSupplier mayOrder) {}

  /** The platform's answer to an order. */
  enum OrderOutcome {
    /** The order was carried out, now or earlier. */
    DONE,
    /** The host is not up, or is leaving; the order may be repeated later. */
    BUSY,
    /** A later leader has already given an order. */
    FENCED,
    /** The host does not exist, or the order can never be carried out for it. */
    IMPOSSIBLE,
    /** The platform accepts no orders now; the order may be repeated later. */
    OVERLOADED
  }

  /** The state of a host. */
  enum HostState {
    /** The host is running. */
    UP,
    /** The host is moving to another pool. */
    MOVING,
    /** The host is down for its maintenance. */
    IN_MAINTENANCE,
    /** The host is down. */
    DOWN
  }

  /**
   * A host of the platform.
   *
   * @param name its name
   * @param pool its pool
   * @param state its state
   * @param worker the id of the worker that runs on it, if any
   */
  record Host(String name, String pool, HostState state, Optional<String> worker) {}
}
