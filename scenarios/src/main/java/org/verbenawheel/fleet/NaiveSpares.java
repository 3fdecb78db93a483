package org.verbenawheel.fleet;

import static com.google.common.collect.ImmutableList.toImmutableList;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.Iterables;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.verbenawheel.identity.PoolName;
import org.verbenawheel.pool.ActivityId;
import org.verbenawheel.pool.ActivityKind;
import org.verbenawheel.pool.HostCondition;
import org.verbenawheel.pool.HostRecord;
import org.verbenawheel.pool.PoolCommand.StartActivity;
import org.verbenawheel.pool.PoolView;
import org.verbenawheel.replication.ControlCommand;

/** Naive spare policies, as a baseline for the capacity planner. */
final class NaiveSpares {
  private static final double LONG_QUEUE_SECONDS = 1;

  private NaiveSpares() {}

  /** Lends every idle spare host to the pools, round robin; expects them to be powered on. */
  static ImmutableList<ControlCommand> lendAllRoundRobin(
      PoolView view, PoolName sparePool, Set<PoolName> pools) {
    ImmutableList.Builder<ControlCommand> commands = ImmutableList.builder();
    Iterator<PoolName> targets = Iterables.cycle(pools).iterator();
    for (HostRecord host : view.hostsOf(sparePool)) {
      PoolName pool = targets.next();
      if (host.activity().isEmpty()) {
        commands.add(start(host, ActivityKind.LEND, Optional.of(pool)));
      }
    }
    return commands.build();
  }

  /**
   * Powers on and lends a spare host per pool with a long queue; returns it once the queue is
   * short.
   */
  static ImmutableList<ControlCommand> followQueues(
      PoolView view, PoolName sparePool, Map<PoolName, ServiceTrace> traces) {
    ImmutableList.Builder<ControlCommand> commands = ImmutableList.builder();
    Deque<HostRecord> spares =
        new ArrayDeque<>(
            view.hostsOf(sparePool).stream()
                .filter(host -> host.activity().isEmpty())
                .collect(toImmutableList()));
    traces.forEach((pool, trace) -> followQueue(view.hostsOf(pool), pool, trace, spares, commands));
    spares.stream()
        .filter(host -> host.condition() == HostCondition.IN_SERVICE)
        .forEach(host -> commands.add(start(host, ActivityKind.POWER_OFF, Optional.empty())));
    return commands.build();
  }

  private static void followQueue(
      ImmutableList<HostRecord> hosts,
      PoolName pool,
      ServiceTrace trace,
      Deque<HostRecord> spares,
      ImmutableList.Builder<ControlCommand> commands) {
    double capacity = hosts.size() * (double) trace.settings().slotsPerEndpoint();
    boolean isLong = trace.queueSlotSeconds() / capacity > LONG_QUEUE_SECONDS;
    if (isLong && !spares.isEmpty()) {
      HostRecord spare = spares.removeFirst();
      commands.add(
          spare.condition() == HostCondition.OFF
              ? start(spare, ActivityKind.POWER_ON, Optional.empty())
              : start(spare, ActivityKind.LEND, Optional.of(pool)));
    } else if (!isLong) {
      hosts.stream()
          .filter(host -> host.lentFrom().isPresent() && host.activity().isEmpty())
          .findFirst()
          .ifPresent(host -> commands.add(start(host, ActivityKind.MOVE, host.lentFrom())));
    }
  }

  private static ControlCommand start(
      HostRecord host, ActivityKind kind, Optional<PoolName> target) {
    ActivityId id = new ActivityId("naive-" + host.version());
    return new StartActivity(host.host(), id, kind, target, host.version());
  }
}
