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
 * Decides which hosts to report lost or back in service, from measurements that lag.
 *
 * <p>A measurement from before the host's last change says nothing about the host as it is now, and
 * a host that is in an activity is judged by the outcome of that.
 */
public final class ConditionDecider implements FleetDecider {
  private final UsageBoard usage;

  /**
   * Makes a decider.
   *
   * @param usage the latest measurements
   */
  public ConditionDecider(UsageBoard usage) {
    this.usage = usage;
  }

  @Override
  public ImmutableList<ControlCommand> decide(PoolView view, Instant now) {
    return usage.latest().values().stream()
        .flatMap(measured -> report(view, measured).stream())
        .collect(toImmutableList());
  }

  private static Optional<ControlCommand> report(PoolView view, HostUsage measured) {
    return Stream.ofNullable(view.hosts().get(measured.host()))
        .filter(host -> host.activity().isEmpty())
        .filter(host -> host.condition() != HostCondition.OFF)
        .filter(host -> host.changedAt().isBefore(measured.measuredAt()))
        .filter(host -> host.condition() != conditionOf(measured))
        .<ControlCommand>map(
            host -> new ReportCondition(host.host(), conditionOf(measured), host.version()))
        .findFirst();
  }

  private static HostCondition conditionOf(HostUsage measured) {
    return measured.reachable() && measured.powered()
        ? HostCondition.IN_SERVICE
        : HostCondition.LOST;
  }
}
