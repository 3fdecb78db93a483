package org.verbenawheel.fleet;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.time.Instant;
import org.verbenawheel.configuration.PoolRole;
import org.verbenawheel.configuration.PoolSettings;
import org.verbenawheel.identity.AvailabilityZone;
import org.verbenawheel.identity.HostName;
import org.verbenawheel.identity.PoolName;
import org.verbenawheel.identity.Rack;
import org.verbenawheel.identity.Region;
import org.verbenawheel.maintenance.MaintenanceState;
import org.verbenawheel.platform.Resources;
import org.verbenawheel.pool.Activity;
import org.verbenawheel.pool.FleetDecider;
import org.verbenawheel.pool.HostCondition;
import org.verbenawheel.pool.HostLocation;
import org.verbenawheel.pool.HostRecord;
import org.verbenawheel.pool.PoolCommand.AdvanceActivity;
import org.verbenawheel.pool.PoolCommand.DefinePool;
import org.verbenawheel.pool.PoolCommand.FailActivity;
import org.verbenawheel.pool.PoolCommand.RegisterHost;
import org.verbenawheel.pool.PoolCommand.ReportCondition;
import org.verbenawheel.pool.PoolState;
import org.verbenawheel.replication.ApplyContext;
import org.verbenawheel.replication.CommandReply;
import org.verbenawheel.replication.ControlCommand;

/** Runs deciders against the replicated state of pools and maintenance under a simulated clock. */
final class FleetSimulation {
  static final int HOSTS_IN_RACK = 4;

  /** Determines how long each phase of an activity takes and whether it fails. */
  interface PhaseModel {
    Duration duration(HostRecord host, Activity activity);

    boolean fails(HostRecord host, Activity activity);
  }

  private final PoolState pools = new PoolState();
  private final MaintenanceState maintenance = new MaintenanceState();
  private final PhaseModel phases;
  private final Instant start = Instant.parse("2026-12-04T00:00:00Z");
  private Instant now = start;
  private long index;
  private int registered;

  FleetSimulation(PhaseModel phases) {
    this.phases = phases;
  }

  PoolState pools() {
    return pools;
  }

  MaintenanceState maintenance() {
    return maintenance;
  }

  Instant now() {
    return now;
  }

  Duration elapsed() {
    return Duration.between(start, now);
  }

  void addPool(PoolName name, PoolRole role, int hosts, int zones, HostCondition condition) {
    commit(new DefinePool(new PoolSettings(name, role, 0, 1_000), 1));
    for (int number = 0; number < hosts; number++) {
      int zone = number % zones;
      int rack = registered++ / (HOSTS_IN_RACK * zones);
      commit(
          new RegisterHost(
              new HostName(name + "-" + number),
              new HostLocation(
                  new Rack("rack-" + zone + "-" + rack),
                  new AvailabilityZone("zone-" + zone),
                  new Region("region")),
              new Resources(32, 65_536, 0),
              name,
              condition));
    }
  }

  CommandReply commit(ControlCommand command) {
    ApplyContext context = new ApplyContext(++index, now);
    return maintenance.commandKinds().contains(command.getClass())
        ? maintenance.apply(command, context)
        : pools.apply(command, context);
  }

  /**
   * Commits the decisions of the deciders, completes or fails each activity phase that has taken
   * its full time, and advances the clock.
   */
  void step(ImmutableList<FleetDecider> deciders, Duration length) {
    for (FleetDecider decider : deciders) {
      decider.decide(pools.view(), now).forEach(this::commit);
    }
    for (HostRecord host : pools.view().hosts().values()) {
      host.activity().ifPresent(activity -> advanceActivity(host, activity));
    }
    now = now.plus(length);
  }

  private void advanceActivity(HostRecord host, Activity activity) {
    if (host.changedAt().plus(phases.duration(host, activity)).isAfter(now)) {
      return;
    }
    if (phases.fails(host, activity)) {
      commit(new FailActivity(host.host(), activity.id(), "no answer", host.version()));
      return;
    }
    commit(new AdvanceActivity(host.host(), activity.id(), activity.phase(), host.version()));
  }

  void lose(HostRecord host) {
    commit(new ReportCondition(host.host(), HostCondition.LOST, host.version()));
  }
}
