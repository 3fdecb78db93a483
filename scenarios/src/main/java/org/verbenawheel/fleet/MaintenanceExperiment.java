package org.verbenawheel.fleet;

import static com.google.common.collect.ImmutableList.toImmutableList;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.io.PrintStream;
import java.time.Duration;
import java.util.Locale;
import java.util.Optional;
import java.util.Random;
import org.verbenawheel.capacity.PoolNeed;
import org.verbenawheel.configuration.PoolRole;
import org.verbenawheel.decision.DecisionJournal;
import org.verbenawheel.identity.PoolName;
import org.verbenawheel.maintenance.MaintenanceCommand.StartMaintenance;
import org.verbenawheel.maintenance.MaintenanceDecider;
import org.verbenawheel.maintenance.MaintenancePhase;
import org.verbenawheel.maintenance.MaintenanceSettings;
import org.verbenawheel.maintenance.WavePlanner;
import org.verbenawheel.pool.Activity;
import org.verbenawheel.pool.ActivityId;
import org.verbenawheel.pool.ActivityKind;
import org.verbenawheel.pool.ActivityPhase;
import org.verbenawheel.pool.FleetDecider;
import org.verbenawheel.pool.HostCondition;
import org.verbenawheel.pool.HostRecord;
import org.verbenawheel.pool.PoolCommand.StartActivity;
import org.verbenawheel.pool.PoolView;
import org.verbenawheel.replication.ControlCommand;

/**
 * Compares the wave planner with two naive policies of rolling out maintenance: the time taken, how
 * far pools fall below the hosts they need, and how many hosts are lost to a bad image.
 */
public final class MaintenanceExperiment {
  private static final Duration STEP = Duration.ofSeconds(10);
  private static final Duration MAXIMUM_TIME = Duration.ofDays(49);
  private static final Duration USUAL_DRAIN = Duration.ofSeconds(30);
  private static final Duration STRAGGLER_DRAIN = Duration.ofMinutes(10);
  private static final Duration REBOOT = Duration.ofMinutes(4);
  private static final double STRAGGLER_SHARE = 0.1;
  private static final double BAD_IMAGE_FAILURE_SHARE = 0.5;
  private static final double BUDGET = 0.001;

  private enum RolloutPolicy {
    ONE_AT_A_TIME {
      @Override
      ImmutableList<HostRecord> chooseHosts(
          ImmutableList<HostRecord> unmaintained, boolean anyActive) {
        return anyActive ? ImmutableList.of() : unmaintained.subList(0, 1);
      }
    },
    ZONE_AT_ONCE {
      @Override
      ImmutableList<HostRecord> chooseHosts(
          ImmutableList<HostRecord> unmaintained, boolean anyActive) {
        return anyActive
            ? ImmutableList.of()
            : unmaintained.stream()
                .filter(
                    host ->
                        host.location()
                            .availabilityZone()
                            .equals(unmaintained.get(0).location().availabilityZone()))
                .collect(toImmutableList());
      }
    },
    WAVES {
      @Override
      ImmutableList<HostRecord> chooseHosts(
          ImmutableList<HostRecord> unmaintained, boolean anyActive) {
        return ImmutableList.of();
      }
    };

    abstract ImmutableList<HostRecord> chooseHosts(
        ImmutableList<HostRecord> unmaintained, boolean anyActive);
  }

  private record FleetSize(String name, int pools, int smallestPool, int largestPool, int zones) {}

  private record Result(
      Duration elapsed, int waves, long shortHostSeconds, int lost, int maintained) {}

  private MaintenanceExperiment() {}

  /**
   * Runs the experiment and prints the table to standard output.
   *
   * @param arguments not used
   */
  public static void main(String[] arguments) {
    run(System.out);
  }

  /**
   * Runs the experiment and prints the table.
   *
   * @param out the stream to print to
   */
  public static void run(PrintStream out) {
    out.println(
        "deployment     policy         image  hours  waves  short_host_s  lost  maintained");
    FleetSize small = new FleetSize("brief", 4, 6, 9, 3);
    FleetSize large = new FleetSize("letter", 143, 24, 33, 9);
    for (FleetSize size : ImmutableList.of(small, large)) {
      for (RolloutPolicy policy : RolloutPolicy.values()) {
        if (size.equals(small) || policy != RolloutPolicy.ONE_AT_A_TIME) {
          print(out, size, policy, false);
          print(out, size, policy, true);
        }
      }
    }
  }

  private static void print(
      PrintStream out, FleetSize size, RolloutPolicy policy, boolean badImage) {
    Result result = rollOut(size, policy, badImage);
    out.printf(
        Locale.ROOT,
        "%-14s %-14s %-5s %6.1f %6d %13d %5d %11d%n",
        size.name(),
        policy,
        badImage ? "bad" : "good",
        result.elapsed().toSeconds() / 3_600.0,
        result.waves(),
        result.shortHostSeconds(),
        result.lost(),
        result.maintained());
  }

  private static Result rollOut(FleetSize size, RolloutPolicy policy, boolean badImage) {
    FleetSimulation simulation = new FleetSimulation(new Phases(badImage));
    for (int number = 0; number < size.pools(); number++) {
      int hosts = size.smallestPool() + number % (size.largestPool() - size.smallestPool() + 1);
      simulation.addPool(
          poolName(number), PoolRole.SERVING, hosts, size.zones(), HostCondition.IN_SERVICE);
    }
    simulation.commit(new StartMaintenance(MAXIMUM_TIME, 0));
    ImmutableMap<PoolName, PoolNeed> needs = needs(simulation.pools().view());
    FleetDecider decider = decider(simulation, policy, needs);
    long shortHostSeconds = 0;
    while (!isFinished(simulation) && simulation.elapsed().compareTo(MAXIMUM_TIME) < 0) {
      simulation.step(ImmutableList.of(decider), STEP);
      shortHostSeconds += missingHosts(simulation.pools().view(), needs) * STEP.toSeconds();
    }
    ImmutableList<HostRecord> hosts = simulation.pools().view().hosts().values().asList();
    return new Result(
        simulation.elapsed(),
        simulation.maintenance().status().wavesStarted(),
        shortHostSeconds,
        (int) hosts.stream().filter(host -> host.condition() == HostCondition.LOST).count(),
        (int) hosts.stream().filter(host -> host.maintainedAt().isPresent()).count());
  }

  private static PoolName poolName(int number) {
    return new PoolName("pool-" + number);
  }

  /** Returns the needs of the pools: three quarters of the hosts of each. */
  private static ImmutableMap<PoolName, PoolNeed> needs(PoolView view) {
    ImmutableMap.Builder<PoolName, PoolNeed> needs = ImmutableMap.builder();
    for (PoolName pool : view.pools().keySet()) {
      int needed = view.hostsOf(pool).size() * 3 / 4;
      needs.put(pool, new PoolNeed(pool, needed, BUDGET));
    }
    return needs.buildOrThrow();
  }

  private static FleetDecider decider(
      FleetSimulation simulation, RolloutPolicy policy, ImmutableMap<PoolName, PoolNeed> needs) {
    if (policy == RolloutPolicy.WAVES) {
      return new MaintenanceDecider(
          new WavePlanner(MaintenanceSettings.DEFAULT),
          simulation.maintenance(),
          now -> needs,
          new DecisionJournal(1));
    }
    return (view, now) -> decideNaively(policy, view);
  }

  private static ImmutableList<ControlCommand> decideNaively(RolloutPolicy policy, PoolView view) {
    ImmutableList<HostRecord> unmaintained =
        view.hosts().values().stream()
            .filter(host -> host.activity().isEmpty() && host.maintainedAt().isEmpty())
            .filter(host -> host.condition() == HostCondition.IN_SERVICE)
            .collect(toImmutableList());
    boolean anyActive =
        view.hosts().values().stream().anyMatch(host -> host.activity().isPresent());
    if (unmaintained.isEmpty()) {
      return ImmutableList.of();
    }
    return policy.chooseHosts(unmaintained, anyActive).stream()
        .map(
            host ->
                new StartActivity(
                    host.host(),
                    new ActivityId("naive-" + host.version()),
                    ActivityKind.MAINTAIN,
                    Optional.empty(),
                    host.version()))
        .collect(toImmutableList());
  }

  private static boolean isFinished(FleetSimulation simulation) {
    boolean halted = simulation.maintenance().status().phase() == MaintenancePhase.HALTED;
    return simulation.pools().view().hosts().values().stream()
        .allMatch(
            host ->
                host.activity().isEmpty()
                    && (halted
                        || host.maintainedAt().isPresent()
                        || host.condition() == HostCondition.LOST));
  }

  private static long missingHosts(PoolView view, ImmutableMap<PoolName, PoolNeed> needs) {
    long missingTotal = 0;
    for (PoolNeed need : needs.values()) {
      long hostsTakingWork =
          view.hostsOf(need.pool()).stream().filter(HostRecord::takesWork).count();
      missingTotal += Math.max(0, need.hosts() - hostsTakingWork);
    }
    return missingTotal;
  }

  /**
   * Drains are short except on stragglers, a tenth of the hosts; with a bad image about half of the
   * hosts fail to reboot.
   */
  private record Phases(boolean badImage) implements FleetSimulation.PhaseModel {
    @Override
    public Duration duration(HostRecord host, Activity activity) {
      return switch (activity.phase()) {
        case DRAINING -> draw(host) < STRAGGLER_SHARE ? STRAGGLER_DRAIN : USUAL_DRAIN;
        case REBOOTING -> REBOOT;
        default -> Duration.ZERO;
      };
    }

    @Override
    public boolean fails(HostRecord host, Activity activity) {
      return badImage
          && activity.phase() == ActivityPhase.REBOOTING
          && draw(host) > 1 - BAD_IMAGE_FAILURE_SHARE;
    }

    private static double draw(HostRecord host) {
      return new Random(host.host().value().hashCode() * 0x9e3779b97f4a7c15L).nextDouble();
    }
  }
}
