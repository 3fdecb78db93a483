package org.verbenawheel.execution;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/**
 * Decides which workers may run a step, for queues whose policy restricts them. Thread-safe; never
 * blocks.
 */
public interface PlacementAdviser {
  /**
   * Asks which workers may run a step. The adviser accepts one question of a process at a time.
   *
   * @param step the step's name
   * @param workers the ids of the workers
   * @param timeout how long to wait for the answer
   * @return the tickets of the approved workers, by worker id; fails if there is no definite answer
   */
  CompletableFuture<ImmutableMap<String, String>> approve(
      String step, ImmutableList<String> workers, Duration timeout);
}
