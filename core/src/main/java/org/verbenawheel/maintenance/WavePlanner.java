package org.verbenawheel.maintenance;

import static com.google.common.collect.ImmutableList.toImmutableList;
import static com.google.common.collect.ImmutableSet.toImmutableSet;
import static java.util.Comparator.comparing;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableMultiset;
import com.google.common.collect.ImmutableSet;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;
import org.verbenawheel.capacity.PoolNeed;
import org.verbenawheel.identity.AvailabilityZone;
import org.verbenawheel.identity.PoolName;
import org.verbenawheel.maintenance.MaintenanceCommand.BeginPeriod;
import org.verbenawheel.maintenance.MaintenanceCommand.HaltMaintenance;
import org.verbenawheel.maintenance.MaintenanceCommand.StartWave;
import org.verbenawheel.pool.Activity;
import org.verbenawheel.pool.ActivityId;
import org.verbenawheel.pool.ActivityKind;
import org.verbenawheel.pool.HostCondition;
import org.verbenawheel.pool.HostRecord;
import org.verbenawheel.pool.PoolCommand.CancelActivity;
import org.verbenawheel.pool.PoolCommand.StartActivity;
import org.verbenawheel.pool.PoolView;
import org.verbenawheel.replication.ControlCommand;

/**
 * Plans maintenance in waves. Each wave takes hosts of one availability zone out of service, rack
 * by rack, and from each pool as many as {@link WaveWidth} allows. Does no I/O.
 *
 * <p>The first wave is small, and a wave may take at most {@value #WAVE_GROWTH} times as many hosts
 * as the larger of the last two: a bad image is found before it is on many hosts.
 *
 * <p>A host that is off is not taken out: it is maintained when it is next powered on.
 */
public final class WavePlanner {
  /** The maximum number of hosts in the first wave of a period or after a halt. */
  public static final int FIRST_WAVE_HOSTS = 4;

  /** The maximum size of a wave as a multiple of the larger of the last two. */
  public static final int WAVE_GROWTH = 4;

  private final MaintenanceSettings settings;
  private final WaveWidth width;
  private final FailureCorrelation correlation;

  /**
   * Creates a planner.
   *
   * @param settings the loss rates and times to plan with
   */
  public WavePlanner(MaintenanceSettings settings) {
    this.settings = settings;
    this.width = new WaveWidth(settings.rates(), settings.waveTime());
    this.correlation = new FailureCorrelation(settings.rates().rebootFailureShare());
  }

  /**
   * Returns the next step of maintenance.
   *
   * @param status the progress of maintenance
   * @param view the pools and hosts
   * @param needs what each serving pool must keep; no host is taken out of a pool without an entry
   * @param now the current time
   */
  public WaveStep next(
      MaintenanceStatus status,
      PoolView view,
      ImmutableMap<PoolName, PoolNeed> needs,
      Instant now) {
    return switch (status.phase()) {
      case IDLE -> WaveStep.nothing("no operator has started maintenance");
      case HALTED -> cancelCancellableMaintenance(status, view);
      case RUNNING -> stepWhileRunning(status, view, needs, now);
    };
  }

  /**
   * Returns the pools with hosts that are due for maintenance; none unless maintenance is running.
   *
   * @param status the progress of maintenance
   * @param view the pools and hosts
   */
  public static ImmutableSet<PoolName> poolsDue(MaintenanceStatus status, PoolView view) {
    if (status.phase() != MaintenancePhase.RUNNING) {
      return ImmutableSet.of();
    }
    return view.hosts().values().stream()
        .filter(host -> isDue(host, status))
        .map(HostRecord::pool)
        .collect(toImmutableSet());
  }

  private WaveStep stepWhileRunning(
      MaintenanceStatus status,
      PoolView view,
      ImmutableMap<PoolName, PoolNeed> needs,
      Instant now) {
    Optional<String> haltReason = correlation.reasonToHalt(status, view);
    if (haltReason.isPresent()) {
      return WaveStep.of(
          "halt", haltReason.get(), new HaltMaintenance(haltReason.get(), status.version()));
    }
    Map<PoolName, Integer> widths = maximumWidths(view, needs);
    ImmutableList<HostRecord> chosen = chooseWithin(hostsStillToTakeOut(status, view), widths);
    if (!chosen.isEmpty()) {
      return takeOut(chosen);
    }
    if (isInProgress(status, view, now)) {
      return WaveStep.nothing("the wave is in progress");
    }
    return nextWave(status, view, widths, now);
  }

  private static WaveStep cancelCancellableMaintenance(MaintenanceStatus status, PoolView view) {
    ImmutableList<ControlCommand> cancellations =
        view.hosts().values().stream()
            .flatMap(host -> cancellation(host).stream())
            .collect(toImmutableList());
    return new WaveStep(
        cancellations.isEmpty() ? WaveStep.NOTHING : "cancel",
        status.haltReason().orElse("halted"),
        cancellations);
  }

  private static Optional<ControlCommand> cancellation(HostRecord host) {
    return host.activity()
        .filter(activity -> activity.kind() == ActivityKind.MAINTAIN)
        .filter(activity -> activity.phase().isCancellable())
        .map(activity -> new CancelActivity(host.host(), activity.id(), host.version()));
  }

  /** Returns for each pool how many more of its hosts may be taken out of service. */
  private Map<PoolName, Integer> maximumWidths(
      PoolView view, ImmutableMap<PoolName, PoolNeed> needs) {
    Map<PoolName, Integer> widths = new HashMap<>();
    needs.forEach(
        (pool, need) ->
            widths.put(pool, width.maximumWidth(availableHosts(view.hostsOf(pool)), need)));
    return widths;
  }

  private static ImmutableList<HostRecord> availableHosts(ImmutableList<HostRecord> hosts) {
    return hosts.stream()
        .filter(host -> host.takesWork() && host.activity().isEmpty())
        .collect(toImmutableList());
  }

  /** Returns the hosts of the last wave that are still to be taken out of service. */
  private static ImmutableList<HostRecord> hostsStillToTakeOut(
      MaintenanceStatus status, PoolView view) {
    return status.lastWave().stream()
        .flatMap(wave -> wave.hosts().stream())
        .flatMap(host -> Stream.ofNullable(view.hosts().get(host)))
        .filter(host -> isDue(host, status) && host.activity().isEmpty())
        .collect(toImmutableList());
  }

  private static boolean isDue(HostRecord host, MaintenanceStatus status) {
    return host.condition() == HostCondition.IN_SERVICE
        && host.maintainedAt().filter(at -> !at.isBefore(status.periodStart())).isEmpty();
  }

  /**
   * A wave counts as in progress while more than half of its hosts are being maintained or have not
   * yet settled. It does not wait for the rest, which are stragglers.
   */
  private boolean isInProgress(MaintenanceStatus status, PoolView view, Instant now) {
    ImmutableList<HostRecord> hosts =
        status.lastWave().stream()
            .flatMap(wave -> wave.hosts().stream())
            .flatMap(host -> Stream.ofNullable(view.hosts().get(host)))
            .collect(toImmutableList());
    long unsettled =
        hosts.stream().filter(host -> isBeingMaintained(host) || isSettling(host, now)).count();
    return unsettled * 2 > hosts.size();
  }

  private static boolean isBeingMaintained(HostRecord host) {
    return host.activity().map(Activity::kind).filter(ActivityKind.MAINTAIN::equals).isPresent();
  }

  private boolean isSettling(HostRecord host, Instant now) {
    return host.maintainedAt()
        .filter(at -> at.plus(settings.settleTime()).isAfter(now))
        .isPresent();
  }

  private WaveStep nextWave(
      MaintenanceStatus status, PoolView view, Map<PoolName, Integer> widths, Instant now) {
    ImmutableList<HostRecord> due =
        view.hosts().values().stream()
            .filter(host -> isDue(host, status) && host.activity().isEmpty())
            .collect(toImmutableList());
    if (due.isEmpty()) {
      return stepWithoutHostsDue(status, now);
    }
    return zonesInOrder(due, status)
        .map(zone -> startWave(zone, due, widths, status))
        .flatMap(Optional::stream)
        .findFirst()
        .orElseGet(
            () ->
                WaveStep.nothing(
                    due.size()
                        + " hosts are due and no pool can spare one: add hosts or lower demand"));
  }

  private static WaveStep stepWithoutHostsDue(MaintenanceStatus status, Instant now) {
    if (status.periodStart().plus(status.period()).isAfter(now)) {
      return WaveStep.nothing("every host is maintained");
    }
    return WaveStep.of("begin period", "the period is over", new BeginPeriod(status.version()));
  }

  /** Orders the zone of the last wave first, then the zones with the most hosts due. */
  private static Stream<AvailabilityZone> zonesInOrder(
      ImmutableList<HostRecord> due, MaintenanceStatus status) {
    ImmutableMultiset<AvailabilityZone> counts =
        due.stream().map(WavePlanner::zoneOf).collect(ImmutableMultiset.toImmutableMultiset());
    Optional<AvailabilityZone> last = status.lastWave().map(MaintenanceWave::availabilityZone);
    return counts.elementSet().stream()
        .sorted(
            comparing((AvailabilityZone zone) -> last.filter(zone::equals).isEmpty())
                .thenComparing(zone -> -counts.count(zone))
                .thenComparing(zone -> zone));
  }

  private static AvailabilityZone zoneOf(HostRecord host) {
    return host.location().availabilityZone();
  }

  private static Optional<WaveStep> startWave(
      AvailabilityZone zone,
      ImmutableList<HostRecord> due,
      Map<PoolName, Integer> widths,
      MaintenanceStatus status) {
    ImmutableList<HostRecord> candidates =
        due.stream()
            .filter(host -> zoneOf(host).equals(zone))
            .sorted(comparing((HostRecord host) -> host.location().rack()))
            .collect(toImmutableList());
    ImmutableList<HostRecord> chosen =
        chooseWithin(candidates, widths).stream()
            .limit(maximumWaveHosts(status))
            .collect(toImmutableList());
    if (chosen.isEmpty()) {
      return Optional.empty();
    }
    return Optional.of(
        WaveStep.of(
            "start wave",
            chosen.size()
                + " of "
                + due.size()
                + " hosts due, in "
                + zone
                + ", at most per pool "
                + widths,
            new StartWave(
                zone,
                chosen.stream().map(HostRecord::host).collect(toImmutableList()),
                status.version())));
  }

  private static long maximumWaveHosts(MaintenanceStatus status) {
    int largest =
        status.recentWaves().stream()
            .filter(wave -> !wave.startedAt().isBefore(status.periodStart()))
            .filter(wave -> !wave.startedAt().isBefore(status.judgedFrom()))
            .mapToInt(wave -> wave.hosts().size())
            .max()
            .orElse(0);
    return Math.max(FIRST_WAVE_HOSTS, (long) WAVE_GROWTH * largest);
  }

  private static ImmutableList<HostRecord> chooseWithin(
      ImmutableList<HostRecord> candidates, Map<PoolName, Integer> widths) {
    Map<PoolName, Integer> left = new HashMap<>(widths);
    return candidates.stream()
        .filter(host -> left.merge(host.pool(), -1, Integer::sum) >= 0)
        .collect(toImmutableList());
  }

  private static WaveStep takeOut(ImmutableList<HostRecord> hosts) {
    return new WaveStep(
        "take out",
        hosts.size() + " hosts of the wave can be spared by their pools",
        hosts.stream().map(WavePlanner::startMaintenance).collect(toImmutableList()));
  }

  /** The id is unique: {@code version} is a log index, and each index changes one host only. */
  private static ControlCommand startMaintenance(HostRecord host) {
    return new StartActivity(
        host.host(),
        new ActivityId("maintain-" + host.version()),
        ActivityKind.MAINTAIN,
        Optional.empty(),
        host.version());
  }
}
