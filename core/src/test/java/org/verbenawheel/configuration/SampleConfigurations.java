package org.verbenawheel.configuration;

import com.google.common.collect.ImmutableMap;
import org.verbenawheel.identity.PoolName;
import org.verbenawheel.identity.ServiceName;

/** Creates valid configurations for tests. */
final class SampleConfigurations {
  static final ServiceName SERVICE = new ServiceName("hobart-desk");
  static final PoolName POOL = new PoolName("hobart-desk");

  private SampleConfigurations() {}

  /** Returns a configuration of one service with the given queue limit. */
  static Configuration withQueueLimit(int queueLimit) {
    return withService(ServiceSettings.builder(SERVICE, POOL).queueLimit(queueLimit).build());
  }

  static Configuration withService(ServiceSettings service) {
    return new Configuration(
        "derwent",
        ImmutableMap.of(service.name(), service),
        ImmutableMap.of(POOL, new PoolSettings(POOL, PoolRole.SERVING, 6, 9)));
  }
}
