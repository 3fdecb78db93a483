package org.verbenawheel.configuration;

import com.google.common.collect.ImmutableMap;
import org.verbenawheel.identity.PoolName;
import org.verbenawheel.identity.ServiceName;

/**
 * The whole configuration of a deployment. Immutable. {@link Configurations} validates it before it
 * is proposed.
 *
 * @param deployment the name of the deployment, for display only
 * @param services the services by name
 * @param pools the pools by name
 */
public record Configuration(
    String deployment,
    ImmutableMap<ServiceName, ServiceSettings> services,
    ImmutableMap<PoolName, PoolSettings> pools) {
  /** The configuration before the first one is accepted, without services and pools. */
  public static final Configuration EMPTY =
      new Configuration("", ImmutableMap.of(), ImmutableMap.of());
}
