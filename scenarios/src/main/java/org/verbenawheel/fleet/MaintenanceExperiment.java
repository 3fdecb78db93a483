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
 * Measures a roll-out of maintenance: its time, how far pools fall below their need, and how many
 * hosts a bad image costs, for the planner and for two naive ways.
 */
public final class MaintenanceExperiment {
  private static final Duration STEP = Duration.ofSeconds(10);
  private static final Duration LONGEST = Duration.ofDays(49);
  private static final Duration USUAL_DRAIN = Duration.ofSeconds(30);
  private static final Duration STRAGGLER_DRAIN = Duration.ofMinutes(10);
  private static final Duration REBOOT = Duration.ofMinutes(4);
  private static final double STRAGGLER_SHARE = 0.1;
  private static final double BAD_IMAGE_FAILURE_SHARE = 0.5;
  private static final double BUDGET = 0.001;

  private enum Way {
    ONE_AT_A_TIME {
      @Override
      ImmutableList<HostRecord> choose(ImmutableList<HostRecord> due, boolean anyOut) {
        return anyOut ? ImmutableList.of() : due.subList(0, 1);
      }
    },
    ZONE_AT_ONCE {
      @Override
      ImmutableList<HostRecord> choose(ImmutableList<HostRecord> due, boolean anyOut) {
        return anyOut
            ? ImmutableList.of()
            : due.stream()
                .filter(
                    host ->
                        host.location()
                            .availabilityZone()
                            .equals(due.get(0).location().availabilityZone()))
                .collect(toImmutableList());
      }
    },
    WAVES {
      @Override
      ImmutableList<HostRecord> choose(ImmutableList<HostRecord> due, boolean anyOut) {
        return ImmutableList.of();
      }
    };

    abstract ImmutableList<HostRecord> choose(ImmutableList<HostRecord> due, boolean anyOut);
  }

  private record Size(String name, int pools, int smallestPool, int largestPool, int zones) {}

  private record Result(Duration time, int waves, long shortHostSeconds, int lost, int done) {}

  private MaintenanceExperiment() {}

  /**
   * Prints the table.
   *
   * @param arguments not used
   */
  public static void main(String[] arguments) {
    run(System.out);
  }

  /**
   * Prints the table.
   *
   * @param out where to
   */
  public static void run(PrintStream out) {
    out.println(
        "deployment     way            image  hours  waves  short_host_s  lost  maintained");
    Size brief = new Size("brief", 4, 6, 9, 3);
    Size letter = new Size("letter", 143, 24, 33, 9);
    for (Size size : ImmutableList.of(brief, letter)) {
      for (Way way : Way.values()) {
        if (size.equals(brief) || way != Way.ONE_AT_A_TIME) {
          print(out, size, way, false);
          print(out, size, way, true);
        }
      }
    }
  }

  private static void print(PrintStream out, Size size, Way way, boolean badImage) {
    Result result = roll(size, way, badImage);
    out.printf(
        Locale.ROOT,
        "%-14s %-14s %-5s %6.1f %6d %13d %5d %11d%n",
        size.name(),
        way,
        badImage ? "bad" : "good",
        result.time().toSeconds() / 3_600.0,
        result.waves(),
        result.shortHostSeconds(),
        result.lost(),
        result.done());
  }

  private static Result roll(Size size, Way way, boolean badImage) {
    FleetTrial trial = new FleetTrial(new Phases(badImage));
    for (int number = 0; number < size.pools(); number++) {
      int hosts = size.smallestPool() + number % (size.largestPool() - size.smallestPool() + 1);
      trial.addPool(
          poolName(number), PoolRole.SERVING, hosts, size.zones(), HostCondition.IN_SERVICE);
    }
    trial.commit(new StartMaintenance(LONGEST, 0));
    ImmutableMap<PoolName, PoolNeed> needs = needs(trial.pools().view());
    FleetDecider decider = decider(trial, way, needs);
    long shortHostSeconds = 0;
    while (!isOver(trial) && trial.elapsed().compareTo(LONGEST) < 0) {
      trial.step(ImmutableList.of(decider), STEP);
      shortHostSeconds += missing(trial.pools().view(), needs) * STEP.toSeconds();
    }
    ImmutableList<HostRecord> hosts = trial.pools().view().hosts().values().asList();
    return new Result(
        trial.elapsed(),
        trial.maintenance().status().wavesStarted(),
        shortHostSeconds,
        (int) hosts.stream().filter(host -> host.condition() == HostCondition.LOST).count(),
        (int) hosts.stream().filter(host -> host.maintainedAt().isPresent()).count());
  }

  private static PoolName poolName(int number) {
    return new PoolName("pool-" + number);
  }

  /** Each pool needs three quarters of its hosts. */
  private static ImmutableMap<PoolName, PoolNeed> needs(PoolView view) {
    ImmutableMap.Builder<PoolName, PoolNeed> needs = ImmutableMap.builder();
    for (PoolName pool : view.pools().keySet()) {
      int needed = view.hostsOf(pool).size() * 3 / 4;
      needs.put(pool, new PoolNeed(pool, needed, BUDGET));
    }
    return needs.buildOrThrow();
  }

  private static FleetDecider decider(
      FleetTrial trial, Way way, ImmutableMap<PoolName, PoolNeed> needs) {
    if (way == Way.WAVES) {
      return new MaintenanceDecider(
          new WavePlanner(MaintenanceSettings.DEFAULT),
          trial.maintenance(),
          moment -> needs,
          new DecisionJournal(1));
    }
    return (view, moment) -> naive(way, view);
  }

  private static ImmutableList<ControlCommand> naive(Way way, PoolView view) {
    ImmutableList<HostRecord> due =
        view.hosts().values().stream()
            .filter(host -> host.activity().isEmpty() && host.maintainedAt().isEmpty())
            .filter(host -> host.condition() == HostCondition.IN_SERVICE)
            .collect(toImmutableList());
    boolean anyOut = view.hosts().values().stream().anyMatch(host -> host.activity().isPresent());
    if (due.isEmpty()) {
      return ImmutableList.of();
    }
    return way.choose(due, anyOut).stream()
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

  private static boolean isOver(FleetTrial trial) {
    boolean halted = trial.maintenance().status().phase() == MaintenancePhase.HALTED;
    return trial.pools().view().hosts().values().stream()
        .allMatch(
            host ->
                host.activity().isEmpty()
                    && (halted
                        || host.maintainedAt().isPresent()
                        || host.condition() == HostCondition.LOST));
  }

  private static long missing(PoolView view, ImmutableMap<PoolName, PoolNeed> needs) {
    long missing = 0;
    for (PoolNeed need : needs.values()) {
      long atWork = view.hostsOf(need.pool()).stream().filter(HostRecord::takesWork).count();
      missing += Math.max(0, need.hosts() - atWork);
    }
    return missing;
  }

  /** Drains are short but for stragglers; with a bad image every second host does not come back. */
  private record Phases(boolean badImage) implements FleetTrial.PhaseModel {
    @Override
    public Duration time(HostRecord host, Activity activity) {
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
