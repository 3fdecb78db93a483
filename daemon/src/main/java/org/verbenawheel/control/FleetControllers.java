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
 * Assembles the controllers that run on the leader and manage hosts: their condition, maintenance
 * and spare capacity. Also receives the entries' demand reports, which those controllers read.
 */
final class FleetControllers implements PeerHandler {
  private static final Duration CONTROL_INTERVAL = Duration.ofMillis(500);
  private static final int MAXIMUM_DECISIONS = 256;

  private final PoolState pools;
  private final MaintenanceState maintenance;
  private final Supplier<VersionedConfiguration> acceptedConfiguration;
  private final InstantSource clock;
  private final DemandBoard demand;
  private final WavePlanner wavePlanner = new WavePlanner(MaintenanceSettings.DEFAULT);
  private final DecisionJournal maintenanceDecisions = new DecisionJournal(MAXIMUM_DECISIONS);
  private final DecisionJournal capacityDecisions = new DecisionJournal(MAXIMUM_DECISIONS);

  FleetControllers(
      PoolState pools,
      MaintenanceState maintenance,
      Supplier<VersionedConfiguration> acceptedConfiguration,
      InstantSource clock) {
    this.pools = pools;
    this.maintenance = maintenance;
    this.acceptedConfiguration = acceptedConfiguration;
    this.clock = clock;
    this.demand = new DemandBoard(acceptedConfiguration);
  }

  /**
   * Returns a part that runs the controllers every 500 ms and acts only while this process leads.
   */
  ControllerPart newControllerPart(Leadership leadership, CommandLog log, Platform platform) {
    UsageBoard usage = new UsageBoard();
    ActivityController controller =
        new ActivityController(
            pools,
            ImmutableList.of(
                new PoolDefinitions(acceptedConfiguration),
                new ConditionDecider(usage),
                new MaintenanceDecider(
                    wavePlanner, maintenance, demand::needs, maintenanceDecisions),
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
    return new ControllerPart(controller, CONTROL_INTERVAL);
  }

  /** Returns the progress of maintenance and the wave that would start next. */
  MaintenanceReport maintenanceReport() {
    Instant now = clock.instant();
    MaintenanceStatus status = maintenance.status();
    return MaintenanceReport.of(
        status, wavePlanner.next(status, pools.view(), demand.needs(now), now));
  }

  /** Returns the latest 256 decisions of each kind, each with the inputs that led to it. */
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
