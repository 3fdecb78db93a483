package org.verbenawheel.capacity;

import com.google.common.collect.ImmutableList;
import org.verbenawheel.pool.PoolCommand.StartActivity;

/**
 * What capacity begins now, each with its reason.
 *
 * @param steps the steps; empty if every pool has what it should
 */
public record CapacityPlan(ImmutableList<Step> steps) {

  /**
   * One host that is powered, lent or given back.
   *
   * @param command the command
   * @param reason why, in one sentence
   */
  public record Step(StartActivity command, String reason) {}
}
