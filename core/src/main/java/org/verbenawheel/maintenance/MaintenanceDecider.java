package org.verbenawheel.maintenance;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.time.Instant;
import java.util.function.Function;
import org.verbenawheel.capacity.PoolNeed;
import org.verbenawheel.decision.Decision;
import org.verbenawheel.decision.DecisionJournal;
import org.verbenawheel.identity.PoolName;
import org.verbenawheel.pool.FleetDecider;
import org.verbenawheel.pool.PoolView;
import org.verbenawheel.replication.ControlCommand;

/**
 * Runs the {@link WavePlanner} on the replicated state and returns its commands. Adds an entry to
 * the decision journal whenever the reason differs from that of the previous step.
 */
public final class MaintenanceDecider implements FleetDecider {
  private static final String TOPIC = "maintenance";

  private final WavePlanner planner;
  private final MaintenanceState state;
  private final Function<Instant, ImmutableMap<PoolName, PoolNeed>> needs;
  private final DecisionJournal journal;
  private String lastReason = "";

  /**
   * Creates a decider.
   *
   * @param planner plans the waves
   * @param state the replicated status of maintenance
   * @param needs returns what each serving pool must keep at a given time
   * @param journal records the decisions
   */
  public MaintenanceDecider(
      WavePlanner planner,
      MaintenanceState state,
      Function<Instant, ImmutableMap<PoolName, PoolNeed>> needs,
      DecisionJournal journal) {
    this.planner = planner;
    this.state = state;
    this.needs = needs;
    this.journal = journal;
  }

  @Override
  public ImmutableList<ControlCommand> decide(PoolView view, Instant now) {
    MaintenanceStatus status = state.status();
    ImmutableMap<PoolName, PoolNeed> currentNeeds = needs.apply(now);
    WaveStep step = planner.next(status, view, currentNeeds, now);
    if (!step.reason().equals(lastReason)) {
      lastReason = step.reason();
      journal.add(decision(status, currentNeeds, step, now));
    }
    return step.commands();
  }

  private static Decision decision(
      MaintenanceStatus status,
      ImmutableMap<PoolName, PoolNeed> needs,
      WaveStep step,
      Instant now) {
    return new Decision(
        now,
        TOPIC,
        "wave " + status.wavesStarted(),
        step.outcome(),
        step.reason(),
        ImmutableMap.of("phase", status.phase().name(), "needs", needs.values().toString()));
  }
}
