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

/** The naive ways of using spares that the capacity planner is measured against. */
final class NaiveSpares {
  private static final double LONG_QUEUE_SECONDS = 1;

  private NaiveSpares() {}

  /** Spreads spares that are on over the pools. */
  static ImmutableList<ControlCommand> lendAllByTurns(
      PoolView view, PoolName sparePool, Set<PoolName> pools) {
    ImmutableList.Builder<ControlCommand> commands = ImmutableList.builder();
    Iterator<PoolName> turns = Iterables.cycle(pools).iterator();
    for (HostRecord host : view.hostsOf(sparePool)) {
      PoolName pool = turns.next();
      if (host.activity().isEmpty()) {
        commands.add(start(host, ActivityKind.LEND, Optional.of(pool)));
      }
    }
    return commands.build();
  }

  /** Powers a spare on for each long queue, lends it there, and takes it back when it is short. */
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
