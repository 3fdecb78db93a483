package org.verbenawheel.pool;

import java.util.Optional;
import org.verbenawheel.configuration.PoolRole;
import org.verbenawheel.configuration.PoolSettings;
import org.verbenawheel.identity.AvailabilityZone;
import org.verbenawheel.identity.HostName;
import org.verbenawheel.identity.PoolName;
import org.verbenawheel.identity.Rack;
import org.verbenawheel.identity.Region;
import org.verbenawheel.platform.Resources;
import org.verbenawheel.pool.PoolCommand.DefinePool;
import org.verbenawheel.pool.PoolCommand.RegisterHost;
import org.verbenawheel.pool.PoolCommand.StartActivity;

/** Creates names, locations and commands of pools and hosts for tests. */
public final class Fleet {
  public static final Resources RUNNER = new Resources(32, 65_536, 0);

  private Fleet() {}

  public static PoolName pool(int number) {
    return new PoolName("pool-" + number);
  }

  public static HostName host(int number) {
    return new HostName("host-" + number);
  }

  public static HostLocation location(int rack, int zone) {
    return new HostLocation(
        new Rack("rack-" + rack), new AvailabilityZone("zone-" + zone), new Region("region"));
  }

  public static DefinePool definePool(PoolName name, int maximumHosts) {
    return new DefinePool(new PoolSettings(name, PoolRole.SERVING, 0, maximumHosts), 1);
  }

  public static RegisterHost registerHost(HostName name, PoolName pool) {
    return new RegisterHost(name, location(0, 0), RUNNER, pool, HostCondition.IN_SERVICE);
  }

  public static StartActivity move(HostName host, String id, PoolName target, long version) {
    return new StartActivity(
        host, new ActivityId(id), ActivityKind.MOVE, Optional.of(target), version);
  }
}
