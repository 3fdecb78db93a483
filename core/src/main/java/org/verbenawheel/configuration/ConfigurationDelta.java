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
 * Holds what changed between two versions, so that a change costs its own size and not that of the
 * whole configuration.
 *
 * @param fromVersion the version that it applies to
 * @param toVersion the version that it makes
 * @param deployment the name of the deployment after it
 * @param changedServices services that are new or have other settings
 * @param removedServices services that are gone
 * @param changedPools pools that are new or have other settings
 * @param removedPools pools that are gone
 */
public record ConfigurationDelta(
    long fromVersion,
    long toVersion,
    String deployment,
    ImmutableMap<ServiceName, ServiceSettings> changedServices,
    ImmutableSet<ServiceName> removedServices,
    ImmutableMap<PoolName, PoolSettings> changedPools,
    ImmutableSet<PoolName> removedPools) {

  /**
   * Returns what changed.
   *
   * @param before the earlier version
   * @param after the later version
   */
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
   * Returns the configuration after this change.
   *
   * @param before the configuration of {@link #fromVersion}
   * @throws IllegalArgumentException if it is of another version
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
   * Returns this change and a later one as one.
   *
   * @param next the change that starts where this one ends
   * @throws IllegalArgumentException if it starts elsewhere
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
