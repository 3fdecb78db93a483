package org.verbenawheel.capacity;

import static com.google.common.collect.ImmutableList.toImmutableList;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.time.Instant;
import java.util.function.Function;
import org.verbenawheel.decision.Decision;
import org.verbenawheel.decision.DecisionJournal;
import org.verbenawheel.identity.PoolName;
import org.verbenawheel.pool.FleetDecider;
import org.verbenawheel.pool.PoolView;
import org.verbenawheel.replication.ControlCommand;

/**
 * Runs the {@link CapacityPlanner} on the replicated state and returns the commands of its plan.
 * Adds each step and its reason to the decision journal.
 */
public final class CapacityDecider implements FleetDecider {
  private static final String TOPIC = "capacity";

  private final CapacityPlanner planner;
  private final Function<Instant, ImmutableMap<PoolName, PoolNeed>> needs;
  private final Function<PoolView, ImmutableSet<PoolName>> poolsDue;
  private final DecisionJournal journal;

  /**
   * Creates a decider.
   *
   * @param planner plans the capacity
   * @param needs returns what each pool must keep at a given time
   * @param poolsDue returns the pools with hosts that are due for maintenance
   * @param journal records the decisions
   */
  public CapacityDecider(
      CapacityPlanner planner,
      Function<Instant, ImmutableMap<PoolName, PoolNeed>> needs,
      Function<PoolView, ImmutableSet<PoolName>> poolsDue,
      DecisionJournal journal) {
    this.planner = planner;
    this.needs = needs;
    this.poolsDue = poolsDue;
    this.journal = journal;
  }

  @Override
  public ImmutableList<ControlCommand> decide(PoolView view, Instant now) {
    ImmutableMap<PoolName, PoolNeed> currentNeeds = needs.apply(now);
    CapacityPlan plan = planner.plan(view, currentNeeds, poolsDue.apply(view), now);
    plan.steps().forEach(step -> journal.add(decision(step, currentNeeds, now)));
    return plan.steps().stream().map(CapacityPlan.Step::command).collect(toImmutableList());
  }

  private static Decision decision(
      CapacityPlan.Step step, ImmutableMap<PoolName, PoolNeed> needs, Instant now) {
    return new Decision(
        now,
        TOPIC,
        step.command().host().toString(),
        step.command().kind().name(),
        step.reason(),
        ImmutableMap.of("needs", needs.values().toString()));
  }
}
