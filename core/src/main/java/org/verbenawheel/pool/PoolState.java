package org.verbenawheel.pool;

import static com.google.common.collect.ImmutableMap.toImmutableMap;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Maps;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.verbenawheel.configuration.Configuration;
import org.verbenawheel.configuration.PoolSettings;
import org.verbenawheel.identity.HostName;
import org.verbenawheel.identity.PoolName;
import org.verbenawheel.pool.PoolCommand.AdvanceActivity;
import org.verbenawheel.pool.PoolCommand.CancelActivity;
import org.verbenawheel.pool.PoolCommand.DefinePool;
import org.verbenawheel.pool.PoolCommand.FailActivity;
import org.verbenawheel.pool.PoolCommand.RegisterHost;
import org.verbenawheel.pool.PoolCommand.ReportCondition;
import org.verbenawheel.pool.PoolCommand.RetireHost;
import org.verbenawheel.pool.PoolCommand.StartActivity;
import org.verbenawheel.replication.ApplyContext;
import org.verbenawheel.replication.CommandReply;
import org.verbenawheel.replication.ControlCommand;
import org.verbenawheel.replication.DamagedSnapshotException;
import org.verbenawheel.replication.StatePart;

/**
 * Holds the pools and, as one map, each host with its pool and what is being done to it.
 *
 * <p>A move changes the map once, in the command that finishes it. Until then the host is in its
 * old pool and a place in the new pool is kept for it. Reads from other threads are safe.
 */
public final class PoolState implements StatePart {
  private static final int HOSTS_IN_DUMP = 200;

  private final TreeMap<PoolName, DefinePool> pools = new TreeMap<>();
  private final TreeMap<HostName, HostRecord> hosts = new TreeMap<>();
  private final Supplier<Configuration> accepted;
  private @Nullable PoolView view;

  /** Makes a state without pools, for use where every pool is defined by a command. */
  public PoolState() {
    this(() -> Configuration.EMPTY);
  }

  /**
   * Makes a state without pools.
   *
   * @param accepted gives the configuration that stands in the replicated state. The pools that it
   *     names take hosts from its acceptance on, though the leader defines them a moment later
   */
  public PoolState(Supplier<Configuration> accepted) {
    this.accepted = accepted;
  }

  @Override
  public String name() {
    return "pools";
  }

  @Override
  public ImmutableSet<Class<? extends ControlCommand>> commandKinds() {
    return ImmutableSet.of(
        DefinePool.class,
        RegisterHost.class,
        RetireHost.class,
        StartActivity.class,
        AdvanceActivity.class,
        CancelActivity.class,
        FailActivity.class,
        ReportCondition.class);
  }

  @Override
  public synchronized CommandReply apply(ControlCommand command, ApplyContext context) {
    view = null;
    if (command instanceof DefinePool definePool) {
      return definePool(definePool);
    }
    if (command instanceof RegisterHost registerHost) {
      return registerHost(registerHost, context);
    }
    if (command instanceof RetireHost retireHost) {
      return onHost(retireHost.host(), host -> retire(host, retireHost));
    }
    return changeHost(command, context);
  }

  private PoolReply changeHost(ControlCommand command, ApplyContext context) {
    HostActivities activities = new HostActivities(this::freePlaces, context);
    if (command instanceof StartActivity start) {
      return onHost(start.host(), host -> store(activities.start(host, start)));
    }
    if (command instanceof AdvanceActivity advance) {
      return onHost(advance.host(), host -> store(activities.advance(host, advance)));
    }
    if (command instanceof CancelActivity cancel) {
      return onHost(cancel.host(), host -> store(activities.cancel(host, cancel)));
    }
    if (command instanceof FailActivity fail) {
      return onHost(fail.host(), host -> store(activities.fail(host, fail)));
    }
    if (command instanceof ReportCondition report) {
      return onHost(report.host(), host -> store(activities.report(host, report)));
    }
    throw new IllegalArgumentException("not a command on pools: " + command.getClass());
  }

  /** Returns the pools and hosts as they are now. */
  public synchronized PoolView view() {
    PoolView current = view;
    if (current == null) {
      current =
          new PoolView(
              pools.values().stream()
                  .map(DefinePool::settings)
                  .collect(toImmutableMap(PoolSettings::name, settings -> settings)),
              ImmutableMap.copyOf(hosts));
      view = current;
    }
    return current;
  }

  @Override
  public synchronized byte[] snapshot() {
    return new PoolSnapshot(
            ImmutableList.copyOf(pools.values()), ImmutableList.copyOf(hosts.values()))
        .encode();
  }

  @Override
  public synchronized void restore(byte[] snapshot) throws DamagedSnapshotException {
    PoolSnapshot decoded = PoolSnapshot.decode(snapshot);
    view = null;
    pools.clear();
    hosts.clear();
    decoded.pools().forEach(pool -> pools.put(pool.settings().name(), pool));
    decoded.hosts().forEach(host -> hosts.put(host.host(), host));
  }

  /** Returns the pools with their counts of hosts, and the first hosts by name. */
  @Override
  public synchronized Object dump() {
    return new PoolDump(
        pools.size(),
        hosts.size(),
        ImmutableMap.copyOf(Maps.transformValues(pools, this::countHosts)),
        hosts.values().stream().limit(HOSTS_IN_DUMP).collect(ImmutableList.toImmutableList()));
  }

  private PoolReply definePool(DefinePool command) {
    PoolName name = command.settings().name();
    DefinePool present = pools.get(name);
    if (present != null && present.configurationVersion() > command.configurationVersion()) {
      return Refusals.olderConfiguration(name, present.configurationVersion());
    }
    pools.put(name, command);
    return new PoolReply.PoolDefined(command.settings());
  }

  private PoolReply registerHost(RegisterHost command, ApplyContext context) {
    HostRecord present = hosts.get(command.host());
    if (present != null) {
      return isSameHost(present, command)
          ? new PoolReply.HostChanged(present)
          : Refusals.hostExists(present);
    }
    Optional<PoolReply.Refused> refusal =
        Refusals.noPlace(command.pool(), freePlaces(command.pool()));
    if (refusal.isPresent()) {
      return refusal.get();
    }
    HostRecord host =
        HostRecord.builder(command.host(), command.location(), command.resources(), command.pool())
            .condition(command.condition())
            .changed(context.index(), context.stateTime())
            .build();
    return store(new PoolReply.HostChanged(host));
  }

  private static boolean isSameHost(HostRecord present, RegisterHost command) {
    return present.location().equals(command.location())
        && present.resources().equals(command.resources());
  }

  private PoolReply retire(HostRecord host, RetireHost command) {
    if (host.version() != command.expectedVersion()) {
      return Refusals.versionConflict(host);
    }
    if (host.activity().isPresent()) {
      return Refusals.hostBusy(host);
    }
    if (host.condition() == HostCondition.IN_SERVICE) {
      return Refusals.notPossible(host, "a host in service cannot be retired: power it off first");
    }
    hosts.remove(host.host());
    return new PoolReply.HostRetired(host.host());
  }

  private interface HostChange {
    PoolReply change(HostRecord host);
  }

  private PoolReply onHost(HostName name, HostChange change) {
    HostRecord host = hosts.get(name);
    return host == null ? Refusals.unknownHost(name) : change.change(host);
  }

  private PoolReply store(PoolReply reply) {
    if (reply instanceof PoolReply.HostChanged changed) {
      hosts.put(changed.host().host(), changed.host());
    }
    return reply;
  }

  private Optional<Integer> freePlaces(PoolName pool) {
    return settingsOf(pool).map(settings -> settings.maximumHosts() - placesTaken(pool));
  }

  private Optional<PoolSettings> settingsOf(PoolName pool) {
    DefinePool defined = pools.get(pool);
    return defined != null
        ? Optional.of(defined.settings())
        : Optional.ofNullable(accepted.get().pools().get(pool));
  }

  private int placesTaken(PoolName pool) {
    return (int)
        hosts.values().stream()
            .filter(host -> host.pool().equals(pool) || isMovingTo(host, pool))
            .count();
  }

  private static boolean isMovingTo(HostRecord host, PoolName pool) {
    return host.activity().flatMap(Activity::target).filter(pool::equals).isPresent();
  }

  private int countHosts(DefinePool pool) {
    PoolName name = pool.settings().name();
    return (int) hosts.values().stream().filter(host -> host.pool().equals(name)).count();
  }
}
