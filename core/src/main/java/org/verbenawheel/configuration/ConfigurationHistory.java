package org.verbenawheel.configuration;

import com.google.common.collect.ImmutableList;
import java.util.Optional;

/**
 * Holds the configuration that stands and the changes that led to it. Immutable.
 *
 * @param current the configuration that stands
 * @param changes the most recent changes, oldest first, without a gap; the last made {@code
 *     current}
 */
public record ConfigurationHistory(
    VersionedConfiguration current, ImmutableList<ConfigurationChange> changes) {
  /** How many changes are kept. */
  public static final int MAXIMUM_CHANGES = 64;

  /** The history before the first configuration is accepted. */
  public static final ConfigurationHistory NONE =
      new ConfigurationHistory(VersionedConfiguration.NONE, ImmutableList.of());

  /**
   * Returns the history with one more change; the oldest goes if there are too many.
   *
   * @param change a change of {@code current}
   */
  ConfigurationHistory with(ConfigurationChange change) {
    ImmutableList<ConfigurationChange> kept =
        changes.size() < MAXIMUM_CHANGES ? changes : changes.subList(1, changes.size());
    return new ConfigurationHistory(
        change.delta().applyTo(current),
        ImmutableList.<ConfigurationChange>builder().addAll(kept).add(change).build());
  }

  /**
   * Returns what changed since a version, as one change.
   *
   * @param version a version before the current one
   * @return empty if the history does not reach back so far
   */
  public Optional<ConfigurationDelta> changesSince(long version) {
    return changes.stream()
        .map(ConfigurationChange::delta)
        .filter(delta -> delta.fromVersion() >= version)
        .reduce(ConfigurationDelta::then)
        .filter(delta -> delta.fromVersion() == version);
  }

  /** Returns who made the version that stands; empty text if nobody yet. */
  String lastOperator() {
    return changes.isEmpty() ? "" : changes.get(changes.size() - 1).operator();
  }
}
