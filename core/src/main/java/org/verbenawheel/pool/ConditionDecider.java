package org.verbenawheel.pool;

import static com.google.common.collect.ImmutableList.toImmutableList;

import com.google.common.collect.ImmutableList;
import java.time.Instant;
import java.util.Optional;
import java.util.stream.Stream;
import org.verbenawheel.platform.HostUsage;
import org.verbenawheel.platform.UsageBoard;
import org.verbenawheel.pool.PoolCommand.ReportCondition;
import org.verbenawheel.replication.ControlCommand;

/**
 * Reports hosts as lost or as back in service, based on the platform's measurements.
 *
 * <p>Measurements lag behind. One that was taken before the host's last change is ignored, because
 * it may not hold any more. A host with an activity is skipped: the outcome of the activity sets
 * its condition. So is a host that is powered off on purpose.
 */
public final class ConditionDecider implements FleetDecider {
  private final UsageBoard usage;

  /**
   * Creates a decider.
   *
   * @param usage holds the latest measurement of each host
   */
  public ConditionDecider(UsageBoard usage) {
    this.usage = usage;
  }

  @Override
  public ImmutableList<ControlCommand> decide(PoolView view, Instant now) {
    return usage.latest().values().stream()
        .flatMap(measurement -> reportChange(view, measurement).stream())
        .collect(toImmutableList());
  }

  private static Optional<ControlCommand> reportChange(PoolView view, HostUsage measurement) {
    return Stream.ofNullable(view.hosts().get(measurement.host()))
        .filter(host -> host.activity().isEmpty())
        .filter(host -> host.condition() != HostCondition.OFF)
        .filter(host -> host.changedAt().isBefore(measurement.measuredAt()))
        .filter(host -> host.condition() != conditionOf(measurement))
        .<ControlCommand>map(
            host -> new ReportCondition(host.host(), conditionOf(measurement), host.version()))
        .findFirst();
  }

  private static HostCondition conditionOf(HostUsage measurement) {
    return measurement.reachable() && measurement.powered()
        ? HostCondition.IN_SERVICE
        : HostCondition.LOST;
  }
}
