package org.verbenawheel.configuration;

import static com.google.common.collect.ImmutableMap.toImmutableMap;
import static com.google.common.collect.ImmutableSet.toImmutableSet;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Sets;
import java.util.LinkedHashMap;
import java.util.Map;
import org.verbenawheel.identity.PoolName;
import org.verbenawheel.identity.ServiceName;

/**
 * The difference between two versions of the configuration. Sending or storing it costs space in
 * proportion to the change, not to the whole configuration.
 *
 * @param fromVersion the version to which the delta applies
 * @param toVersion the version that results
 * @param deployment the name of the deployment in the resulting version
 * @param changedServices services that are new or have changed settings
 * @param removedServices services that no longer exist
 * @param changedPools pools that are new or have changed settings
 * @param removedPools pools that no longer exist
 */
public record ConfigurationDelta(
    long fromVersion,
    long toVersion,
    String deployment,
    ImmutableMap<ServiceName, ServiceSettings> changedServices,
    ImmutableSet<ServiceName> removedServices,
    ImmutableMap<PoolName, PoolSettings> changedPools,
    ImmutableSet<PoolName> removedPools) {

  /** Returns the difference between two versions. */
  public static ConfigurationDelta between(
      VersionedConfiguration before, VersionedConfiguration after) {
    Configuration earlier = before.configuration();
    Configuration later = after.configuration();
    return new ConfigurationDelta(
        before.version(),
        after.version(),
        later.deployment(),
        changed(earlier.services(), later.services()),
        removed(earlier.services(), later.services()),
        changed(earlier.pools(), later.pools()),
        removed(earlier.pools(), later.pools()));
  }

  /**
   * Applies this delta to a configuration and returns the result.
   *
   * @param before the configuration with version {@link #fromVersion}
   * @throws IllegalArgumentException if {@code before} has another version
   */
  public VersionedConfiguration applyTo(VersionedConfiguration before) {
    if (before.version() != fromVersion) {
      throw new IllegalArgumentException(
          "change from version " + fromVersion + " cannot apply to " + before.version());
    }
    Configuration earlier = before.configuration();
    return new VersionedConfiguration(
        toVersion,
        new Configuration(
            deployment,
            merge(earlier.services(), changedServices, removedServices),
            merge(earlier.pools(), changedPools, removedPools)));
  }

  /**
   * Combines this delta and the one that follows it into one.
   *
   * @param next the delta whose {@code fromVersion} is the {@code toVersion} of this one
   * @throws IllegalArgumentException if {@code next} starts from another version
   */
  public ConfigurationDelta then(ConfigurationDelta next) {
    if (next.fromVersion != toVersion) {
      throw new IllegalArgumentException(
          "change from version " + next.fromVersion + " cannot follow " + toVersion);
    }
    return new ConfigurationDelta(
        fromVersion,
        next.toVersion,
        next.deployment,
        merge(changedServices, next.changedServices, next.removedServices),
        mergeRemoved(removedServices, next.removedServices, next.changedServices.keySet()),
        merge(changedPools, next.changedPools, next.removedPools),
        mergeRemoved(removedPools, next.removedPools, next.changedPools.keySet()));
  }

  private static <K, V> ImmutableMap<K, V> changed(Map<K, V> before, Map<K, V> after) {
    return after.entrySet().stream()
        .filter(entry -> !entry.getValue().equals(before.get(entry.getKey())))
        .collect(toImmutableMap(Map.Entry::getKey, Map.Entry::getValue));
  }

  private static <K, V> ImmutableSet<K> removed(Map<K, V> before, Map<K, V> after) {
    return before.keySet().stream()
        .filter(key -> !after.containsKey(key))
        .collect(toImmutableSet());
  }

  private static <K, V> ImmutableMap<K, V> merge(
      Map<K, V> before, Map<K, V> changed, ImmutableSet<K> removed) {
    Map<K, V> after = new LinkedHashMap<>(before);
    after.keySet().removeAll(removed);
    after.putAll(changed);
    return ImmutableMap.copyOf(after);
  }

  private static <K> ImmutableSet<K> mergeRemoved(
      ImmutableSet<K> earlier, ImmutableSet<K> later, ImmutableSet<K> changedLater) {
    return Sets.difference(Sets.union(earlier, later), changedLater).immutableCopy();
  }
}
