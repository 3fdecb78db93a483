package org.verbenawheel.pool;

import static com.google.common.collect.ImmutableList.toImmutableList;

import com.google.common.collect.ImmutableList;
import java.time.Instant;
import java.util.function.Supplier;
import org.verbenawheel.configuration.PoolSettings;
import org.verbenawheel.configuration.VersionedConfiguration;
import org.verbenawheel.pool.PoolCommand.DefinePool;
import org.verbenawheel.replication.ControlCommand;

/** Defines every pool of the accepted configuration that is new or changed in the pool state. */
public final class PoolDefinitions implements FleetDecider {
  private final Supplier<VersionedConfiguration> accepted;

  /**
   * Creates a decider.
   *
   * @param accepted returns the last accepted configuration
   */
  public PoolDefinitions(Supplier<VersionedConfiguration> accepted) {
    this.accepted = accepted;
  }

  @Override
  public ImmutableList<ControlCommand> decide(PoolView view, Instant now) {
    VersionedConfiguration current = accepted.get();
    return current.configuration().pools().values().stream()
        .filter(settings -> isNewOrChanged(view, settings))
        .map(settings -> new DefinePool(settings, current.version()))
        .collect(toImmutableList());
  }

  private static boolean isNewOrChanged(PoolView view, PoolSettings settings) {
    return !settings.equals(view.pools().get(settings.name()));
  }
}
