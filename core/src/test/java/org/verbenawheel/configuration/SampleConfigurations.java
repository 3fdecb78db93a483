package org.verbenawheel.configuration;

import com.google.common.collect.ImmutableMap;
import org.verbenawheel.identity.PoolName;
import org.verbenawheel.identity.ServiceName;

/** Makes configurations for tests. */
final class SampleConfigurations {
  static final ServiceName DESK = new ServiceName("hobart-desk");
  static final PoolName POOL = new PoolName("hobart-desk");

  private SampleConfigurations() {}

  /** Returns a valid configuration of one service that differs by its queue limit. */
  static Configuration withQueueLimit(int queueLimit) {
    return with(ServiceSettings.builder(DESK, POOL).queueLimit(queueLimit).build());
  }

  static Configuration with(ServiceSettings service) {
    return new Configuration(
        "derwent",
        ImmutableMap.of(service.name(), service),
        ImmutableMap.of(POOL, new PoolSettings(POOL, PoolRole.SERVING, 6, 9)));
  }
}
