package org.verbenawheel.capacity;

import com.google.common.collect.ImmutableList;
import org.verbenawheel.pool.PoolCommand.StartActivity;

/**
 * The host activities to start now, each with its reason.
 *
 * @param steps the activities; empty if no host has to be powered, lent or returned
 */
public record CapacityPlan(ImmutableList<Step> steps) {

  /**
   * A host to power on or off, to lend, or to return to the pool that lent it.
   *
   * @param command the command to commit
   * @param reason why, in one sentence
   */
  public record Step(StartActivity command, String reason) {}
}
