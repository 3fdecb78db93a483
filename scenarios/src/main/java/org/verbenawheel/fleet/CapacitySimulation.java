package org.verbenawheel.fleet;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.Map;
import org.verbenawheel.capacity.CapacityDecider;
import org.verbenawheel.capacity.CapacityPlanner;
import org.verbenawheel.capacity.CapacitySettings;
import org.verbenawheel.capacity.DemandBoard;
import org.verbenawheel.capacity.DemandLearner;
import org.verbenawheel.capacity.DemandSample;
import org.verbenawheel.configuration.Configuration;
import org.verbenawheel.configuration.PoolRole;
import org.verbenawheel.configuration.ServiceSettings;
import org.verbenawheel.configuration.VersionedConfiguration;
import org.verbenawheel.decision.DecisionJournal;
import org.verbenawheel.identity.AvailabilityZone;
import org.verbenawheel.identity.PoolName;
import org.verbenawheel.identity.ServiceName;
import org.verbenawheel.maintenance.MaintenanceCommand.StartMaintenance;
import org.verbenawheel.maintenance.MaintenanceDecider;
import org.verbenawheel.maintenance.MaintenanceSettings;
import org.verbenawheel.maintenance.WavePlanner;
import org.verbenawheel.pool.Activity;
import org.verbenawheel.pool.ActivityKind;
import org.verbenawheel.pool.FleetDecider;
import org.verbenawheel.pool.HostCondition;
import org.verbenawheel.pool.HostRecord;
import org.verbenawheel.pool.PoolCommand.ReportCondition;
import org.verbenawheel.pool.PoolCommand.StartActivity;
import org.verbenawheel.pool.PoolView;
import org.verbenawheel.replication.ControlCommand;

/**
 * Simulates one policy of powering spare hosts over eight hours of a fixed trace. Bursts of the
 * services follow each other throughout; maintenance of the whole fleet starts with the second
 * hour; the availability zone zone-0 is lost during the fifth hour.
 */
final class CapacitySimulation {
  private static final Duration STEP = Duration.ofSeconds(1);
  private static final int DECISION_SECONDS = 10;
  private static final int REPORT_LAG_SECONDS = 60;
  private static final int SIMULATED_SECONDS = 8 * 3_600;
  private static final int MAINTENANCE_SECOND = 3_600;
  private static final int LOSS_SECOND = 4 * 3_600;
  private static final int RETURN_SECOND = 5 * 3_600;
  private static final int SPARE_HOSTS = 6;
  private static final int ZONES = 3;
  private static final double PEAK_OVER_POOL = 1.25;
  private static final double PEAK_OVER_MEAN = 5;
  private static final int OFFSET_SECONDS = 6;
  private static final double BUDGET = 0.001;
  private static final AvailabilityZone LOST_ZONE = new AvailabilityZone("zone-0");

  /** Policy of powering spare hosts; the names are printed in the table. */
  enum SparePolicy {
    ALL_OFF,
    ALL_ON,
    QUEUE_LENGTH,
    PLANNER
  }

  /**
   * Totals of one run; {@code worstBudgetSpent} is that of the worst service, 1 for a full budget.
   */
  record Result(
      long spareHostSeconds, int powerOns, int moves, double worstBudgetSpent, int maintained) {}

  private final Deployment deployment;
  private final SparePolicy policy;
  private final FleetSimulation fleet = new FleetSimulation(new Phases());
  private final Map<PoolName, ServiceTrace> traces = new LinkedHashMap<>();
  private final DemandBoard demand;
  private final Deque<DemandSample> undeliveredSamples = new ArrayDeque<>();
  private final ImmutableList<FleetDecider> deciders;
  private int powerOns;
  private int moves;
  private long spareHostSeconds;
  private boolean zoneIsLost;

  CapacitySimulation(Deployment deployment, SparePolicy policy) {
    this.deployment = deployment;
    this.policy = policy;
    ImmutableMap.Builder<ServiceName, ServiceSettings> services = ImmutableMap.builder();
    for (int position = 0; position < deployment.services().size(); position++) {
      ServiceSettings service = addService(position);
      services.put(service.name(), service);
    }
    HostCondition spareCondition =
        policy == SparePolicy.ALL_ON ? HostCondition.IN_SERVICE : HostCondition.OFF;
    fleet.addPool(sparePool(), PoolRole.SPARE, SPARE_HOSTS, ZONES, spareCondition);
    Configuration configuration =
        new Configuration(deployment.name(), services.buildOrThrow(), fleet.pools().view().pools());
    this.demand = new DemandBoard(() -> new VersionedConfiguration(1, configuration));
    this.deciders = ImmutableList.of(maintenanceDecider(), countingCommands(spareDecider()));
  }

  private ServiceSettings addService(int position) {
    String name = deployment.services().get(position);
    PoolName pool = new PoolName(name);
    ServiceSettings settings =
        ServiceSettings.builder(new ServiceName(name), pool)
            .availabilityBudget(BUDGET)
            .deadlineMilliseconds(deployment.deadlineMilliseconds())
            .build();
    int runners = deployment.runners(position);
    fleet.addPool(pool, PoolRole.SERVING, runners, ZONES, HostCondition.IN_SERVICE);
    double mean = runners * settings.slotsPerEndpoint() * PEAK_OVER_POOL / PEAK_OVER_MEAN;
    traces.put(pool, new ServiceTrace(settings, mean, position * OFFSET_SECONDS));
    return settings;
  }

  private PoolName sparePool() {
    return new PoolName(deployment.spare());
  }

  Result run() {
    for (int second = 0; second < SIMULATED_SECONDS; second++) {
      applyEvents(second);
      advanceOneSecond(second);
      fleet.step(second % DECISION_SECONDS == 0 ? deciders : ImmutableList.of(), STEP);
    }
    double worst =
        traces.values().stream().mapToDouble(CapacitySimulation::budgetSpent).max().orElse(0);
    int maintained =
        (int)
            fleet.pools().view().hosts().values().stream()
                .filter(host -> host.maintainedAt().isPresent())
                .count();
    return new Result(spareHostSeconds, powerOns, moves, worst, maintained);
  }

  private static double budgetSpent(ServiceTrace trace) {
    double offeredInWindow =
        trace.offeredTotal() / SIMULATED_SECONDS * DemandLearner.BUDGET_WINDOW.toSeconds();
    return trace.unansweredTotal() / (BUDGET * offeredInWindow);
  }

  private void applyEvents(int second) {
    if (second == MAINTENANCE_SECOND) {
      fleet.commit(new StartMaintenance(Duration.ofDays(49), 0));
    }
    zoneIsLost = second >= LOSS_SECOND && second < RETURN_SECOND;
    if (second >= LOSS_SECOND + REPORT_LAG_SECONDS && second < RETURN_SECOND) {
      reportConditionInLostZone(HostCondition.IN_SERVICE, HostCondition.LOST);
    } else if (second >= RETURN_SECOND + REPORT_LAG_SECONDS) {
      reportConditionInLostZone(HostCondition.LOST, HostCondition.IN_SERVICE);
    }
  }

  private void reportConditionInLostZone(HostCondition from, HostCondition to) {
    for (HostRecord host : fleet.pools().view().hosts().values()) {
      if (isInLostZone(host) && host.condition() == from && host.activity().isEmpty()) {
        fleet.commit(new ReportCondition(host.host(), to, host.version()));
      }
    }
  }

  private static boolean isInLostZone(HostRecord host) {
    return host.location().availabilityZone().equals(LOST_ZONE);
  }

  private void advanceOneSecond(int second) {
    PoolView view = fleet.pools().view();
    traces.forEach((pool, trace) -> advanceOneSecond(second, trace, view.hostsOf(pool)));
    while (!undeliveredSamples.isEmpty()
        && !undeliveredSamples
            .peekFirst()
            .at()
            .plusSeconds(REPORT_LAG_SECONDS)
            .isAfter(fleet.now())) {
      DemandSample sample = undeliveredSamples.removeFirst();
      demand.add(sample);
    }
    spareHostSeconds += view.hosts().values().stream().filter(this::isPoweredSpare).count();
  }

  private void advanceOneSecond(int second, ServiceTrace trace, ImmutableList<HostRecord> hosts) {
    long hostsTakingWork =
        hosts.stream()
            .filter(host -> host.takesWork() && !(zoneIsLost && isInLostZone(host)))
            .count();
    double refused =
        trace.advance(second, hostsTakingWork * (double) trace.settings().slotsPerEndpoint());
    undeliveredSamples.addLast(
        new DemandSample(trace.settings().name(), fleet.now(), trace.offeredAt(second), refused));
  }

  private boolean isPoweredSpare(HostRecord host) {
    boolean spare = host.host().value().startsWith(deployment.spare());
    return spare && (host.condition() != HostCondition.OFF || host.activity().isPresent());
  }

  private FleetDecider maintenanceDecider() {
    return new MaintenanceDecider(
        new WavePlanner(MaintenanceSettings.DEFAULT),
        fleet.maintenance(),
        demand::needs,
        new DecisionJournal(1));
  }

  private FleetDecider spareDecider() {
    return switch (policy) {
      case ALL_OFF -> (view, now) -> ImmutableList.of();
      case ALL_ON ->
          (view, now) -> NaiveSpares.lendAllRoundRobin(view, sparePool(), traces.keySet());
      case QUEUE_LENGTH -> (view, now) -> NaiveSpares.followQueues(view, sparePool(), traces);
      case PLANNER ->
          new CapacityDecider(
              new CapacityPlanner(CapacitySettings.DEFAULT),
              demand::needs,
              view -> WavePlanner.poolsDue(fleet.maintenance().status(), view),
              new DecisionJournal(1));
    };
  }

  private FleetDecider countingCommands(FleetDecider decider) {
    return (view, now) -> {
      ImmutableList<ControlCommand> commands = decider.decide(view, now);
      commands.forEach(this::count);
      return commands;
    };
  }

  private void count(ControlCommand command) {
    if (command instanceof StartActivity start) {
      powerOns += start.kind() == ActivityKind.POWER_ON ? 1 : 0;
      moves += start.target().isPresent() ? 1 : 0;
    }
  }

  /** Powering on takes four minutes, a reboot too, and a drain half a minute. */
  private record Phases() implements FleetSimulation.PhaseModel {
    @Override
    public Duration duration(HostRecord host, Activity activity) {
      return switch (activity.phase()) {
        case DRAINING -> Duration.ofSeconds(30);
        case REBOOTING, POWERING_ON -> Duration.ofMinutes(4);
        default -> Duration.ZERO;
      };
    }

    @Override
    public boolean fails(HostRecord host, Activity activity) {
      return false;
    }
  }
}
