package org.verbenawheel.execution;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/**
 * Tells which workers may run a step, for queues whose policy restricts them. Safe for use by many
 * threads; never blocks.
 */
public interface PlacementAdviser {
  /**
   * Asks about workers. The adviser takes one question of a process at a time.
   *
   * @param step the step's name
   * @param workers the ids of the workers
   * @param timeout how long to wait for the answer
   * @return the tickets of those that may run the step, by worker; fails if there is no clear
   *     answer
   */
  CompletableFuture<ImmutableMap<String, String>> approve(
      String step, ImmutableList<String> workers, Duration timeout);
}
