package org.verbenawheel.control;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.verbenawheel.capacity.CapacityDecider;
import org.verbenawheel.capacity.CapacityPlanner;
import org.verbenawheel.capacity.CapacitySettings;
import org.verbenawheel.capacity.DemandBoard;
import org.verbenawheel.capacity.DemandReport;
import org.verbenawheel.configuration.VersionedConfiguration;
import org.verbenawheel.decision.Decision;
import org.verbenawheel.decision.DecisionJournal;
import org.verbenawheel.identity.ProcessId;
import org.verbenawheel.maintenance.MaintenanceDecider;
import org.verbenawheel.maintenance.MaintenanceSettings;
import org.verbenawheel.maintenance.MaintenanceState;
import org.verbenawheel.maintenance.MaintenanceStatus;
import org.verbenawheel.maintenance.WavePlanner;
import org.verbenawheel.operator.MaintenanceReport;
import org.verbenawheel.peer.PeerHandler;
import org.verbenawheel.peer.PeerMessage;
import org.verbenawheel.platform.Platform;
import org.verbenawheel.platform.UsageBoard;
import org.verbenawheel.pool.ActivityController;
import org.verbenawheel.pool.ConditionDecider;
import org.verbenawheel.pool.ControllerPart;
import org.verbenawheel.pool.Leadership;
import org.verbenawheel.pool.PoolDefinitions;
import org.verbenawheel.pool.PoolState;
import org.verbenawheel.replication.CommandLog;

/**
 * Puts together what decides on the leader about hosts: their condition, maintenance and spare
 * capacity; and takes the entries' reports of demand.
 */
final class FleetControllers implements PeerHandler {
  private static final Duration ROUND_INTERVAL = Duration.ofMillis(500);
  private static final int DECISIONS_KEPT = 256;

  private final PoolState pools;
  private final MaintenanceState maintenance;
  private final Supplier<VersionedConfiguration> accepted;
  private final InstantSource clock;
  private final DemandBoard demand;
  private final WavePlanner waves = new WavePlanner(MaintenanceSettings.DEFAULT);
  private final DecisionJournal maintenanceDecisions = new DecisionJournal(DECISIONS_KEPT);
  private final DecisionJournal capacityDecisions = new DecisionJournal(DECISIONS_KEPT);

  FleetControllers(
      PoolState pools,
      MaintenanceState maintenance,
      Supplier<VersionedConfiguration> accepted,
      InstantSource clock) {
    this.pools = pools;
    this.maintenance = maintenance;
    this.accepted = accepted;
    this.clock = clock;
    this.demand = new DemandBoard(accepted);
  }

  /** Returns the part that decides and acts while this process leads. */
  ControllerPart part(Leadership leadership, CommandLog log, Platform platform) {
    UsageBoard usage = new UsageBoard();
    ActivityController controller =
        new ActivityController(
            pools,
            ImmutableList.of(
                new PoolDefinitions(accepted),
                new ConditionDecider(usage),
                new MaintenanceDecider(waves, maintenance, demand::needs, maintenanceDecisions),
                new CapacityDecider(
                    new CapacityPlanner(CapacitySettings.DEFAULT),
                    demand::needs,
                    view -> WavePlanner.poolsDue(maintenance.status(), view),
                    capacityDecisions)),
            leadership,
            log,
            platform,
            usage,
            clock);
    return new ControllerPart(controller, ROUND_INTERVAL);
  }

  /** Returns how far maintenance has come and what would be done next. */
  MaintenanceReport maintenanceReport() {
    Instant now = clock.instant();
    MaintenanceStatus status = maintenance.status();
    return MaintenanceReport.of(status, waves.next(status, pools.view(), demand.needs(now), now));
  }

  /** Returns the latest decisions, each with the inputs that led to it. */
  ImmutableMap<String, ImmutableList<Decision>> decisions() {
    return ImmutableMap.of(
        "maintenance", maintenanceDecisions.recent(), "capacity", capacityDecisions.recent());
  }

  @Override
  public void onMessage(ProcessId from, PeerMessage message) {
    if (message instanceof DemandReport report && report.entry().equals(from)) {
      demand.add(report);
    }
  }

  @Override
  public Optional<CompletableFuture<PeerMessage>> onRequest(ProcessId from, PeerMessage message) {
    return Optional.empty();
  }
}
