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
 * The replicated state of pools and hosts: the settings of each pool, and one map from each host to
 * its record with its pool and activity.
 *
 * <p>A move changes the host's pool in a single command, the one that finishes the move. Until then
 * the host is in its old pool and capacity for it is reserved in the new pool. Other threads may
 * read while commands are applied.
 */
public final class PoolState implements StatePart {
  private static final int HOSTS_IN_DUMP = 200;

  private final TreeMap<PoolName, DefinePool> pools = new TreeMap<>();
  private final TreeMap<HostName, HostRecord> hosts = new TreeMap<>();
  private final Supplier<Configuration> acceptedConfiguration;
  private @Nullable PoolView view;

  /** Creates an empty state in which pools are defined by commands only. */
  public PoolState() {
    this(() -> Configuration.EMPTY);
  }

  /**
   * Creates an empty state.
   *
   * @param acceptedConfiguration returns the configuration that the replicated state holds. Hosts
   *     can be registered in its pools and moved to them as soon as it is accepted, before the
   *     leader commits the commands that define the pools
   */
  public PoolState(Supplier<Configuration> acceptedConfiguration) {
    this.acceptedConfiguration = acceptedConfiguration;
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
      return applyToHost(retireHost.host(), host -> retire(host, retireHost));
    }
    return changeHost(command, context);
  }

  private PoolReply changeHost(ControlCommand command, ApplyContext context) {
    ActivityTransitions transitions = new ActivityTransitions(this::freeCapacity, context);
    if (command instanceof StartActivity start) {
      return applyToHost(start.host(), host -> store(transitions.start(host, start)));
    }
    if (command instanceof AdvanceActivity advance) {
      return applyToHost(advance.host(), host -> store(transitions.advance(host, advance)));
    }
    if (command instanceof CancelActivity cancel) {
      return applyToHost(cancel.host(), host -> store(transitions.cancel(host, cancel)));
    }
    if (command instanceof FailActivity fail) {
      return applyToHost(fail.host(), host -> store(transitions.fail(host, fail)));
    }
    if (command instanceof ReportCondition report) {
      return applyToHost(report.host(), host -> store(transitions.reportCondition(host, report)));
    }
    throw new IllegalArgumentException("not a command on pools: " + command.getClass());
  }

  /** Returns an immutable view of the current pools and hosts. */
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

  /** Returns the number of hosts in each pool, and the records of the first hosts by name. */
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
    DefinePool existing = pools.get(name);
    if (existing != null && existing.configurationVersion() > command.configurationVersion()) {
      return Refusals.olderConfiguration(name, existing.configurationVersion());
    }
    pools.put(name, command);
    return new PoolReply.PoolDefined(command.settings());
  }

  private PoolReply registerHost(RegisterHost command, ApplyContext context) {
    HostRecord existing = hosts.get(command.host());
    if (existing != null) {
      return isSameHost(existing, command)
          ? new PoolReply.HostChanged(existing)
          : Refusals.hostExists(existing);
    }
    Optional<PoolReply.Refused> refusal =
        Refusals.checkCapacity(command.pool(), freeCapacity(command.pool()));
    if (refusal.isPresent()) {
      return refusal.get();
    }
    HostRecord host =
        HostRecord.builder(command.host(), command.location(), command.resources(), command.pool())
            .condition(command.condition())
            .markChanged(context.index(), context.stateTime())
            .build();
    return store(new PoolReply.HostChanged(host));
  }

  private static boolean isSameHost(HostRecord existing, RegisterHost command) {
    return existing.location().equals(command.location())
        && existing.resources().equals(command.resources());
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

  private interface HostTransition {
    PoolReply apply(HostRecord host);
  }

  private PoolReply applyToHost(HostName name, HostTransition transition) {
    HostRecord host = hosts.get(name);
    return host == null ? Refusals.unknownHost(name) : transition.apply(host);
  }

  private PoolReply store(PoolReply reply) {
    if (reply instanceof PoolReply.HostChanged changed) {
      hosts.put(changed.host().host(), changed.host());
    }
    return reply;
  }

  private Optional<Integer> freeCapacity(PoolName pool) {
    return settingsOf(pool).map(settings -> settings.maximumHosts() - usedCapacity(pool));
  }

  private Optional<PoolSettings> settingsOf(PoolName pool) {
    DefinePool defined = pools.get(pool);
    return defined != null
        ? Optional.of(defined.settings())
        : Optional.ofNullable(acceptedConfiguration.get().pools().get(pool));
  }

  private int usedCapacity(PoolName pool) {
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
