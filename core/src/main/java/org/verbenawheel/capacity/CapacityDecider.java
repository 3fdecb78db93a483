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

/** Puts the {@link CapacityPlanner} to the replicated state and notes each step with its reason. */
public final class CapacityDecider implements FleetDecider {
  private static final String TOPIC = "capacity";

  private final CapacityPlanner planner;
  private final Function<Instant, ImmutableMap<PoolName, PoolNeed>> needs;
  private final Function<PoolView, ImmutableSet<PoolName>> maintenanceDue;
  private final DecisionJournal journal;

  /**
   * Makes a decider.
   *
   * @param planner plans the capacity
   * @param needs gives what each pool must keep at a moment
   * @param maintenanceDue gives the pools with hosts that a running maintenance still has to take
   *     out
   * @param journal takes each decision
   */
  public CapacityDecider(
      CapacityPlanner planner,
      Function<Instant, ImmutableMap<PoolName, PoolNeed>> needs,
      Function<PoolView, ImmutableSet<PoolName>> maintenanceDue,
      DecisionJournal journal) {
    this.planner = planner;
    this.needs = needs;
    this.maintenanceDue = maintenanceDue;
    this.journal = journal;
  }

  @Override
  public ImmutableList<ControlCommand> decide(PoolView view, Instant now) {
    ImmutableMap<PoolName, PoolNeed> current = needs.apply(now);
    CapacityPlan plan = planner.plan(view, current, maintenanceDue.apply(view), now);
    plan.steps().forEach(step -> journal.add(decision(step, current, now)));
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
