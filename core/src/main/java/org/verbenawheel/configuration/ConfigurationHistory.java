package org.verbenawheel.configuration;

import com.google.common.collect.ImmutableList;
import java.util.Optional;

/**
 * The accepted configuration and the most recent changes that led to it. Immutable.
 *
 * @param current the accepted configuration
 * @param changes the most recent changes, oldest first, without a gap; the last one created {@code
 *     current}
 */
public record ConfigurationHistory(
    VersionedConfiguration current, ImmutableList<ConfigurationChange> changes) {
  /** The maximum number of changes that are kept. */
  public static final int MAXIMUM_CHANGES = 64;

  /** The history before the first configuration is accepted. */
  public static final ConfigurationHistory NONE =
      new ConfigurationHistory(VersionedConfiguration.NONE, ImmutableList.of());

  /**
   * Returns this history with a change appended. The oldest change is dropped beyond {@link
   * #MAXIMUM_CHANGES}.
   *
   * @param change a change that starts from the version of {@code current}
   */
  ConfigurationHistory append(ConfigurationChange change) {
    ImmutableList<ConfigurationChange> kept =
        changes.size() < MAXIMUM_CHANGES ? changes : changes.subList(1, changes.size());
    return new ConfigurationHistory(
        change.delta().applyTo(current),
        ImmutableList.<ConfigurationChange>builder().addAll(kept).add(change).build());
  }

  /**
   * Returns the combined changes from a version to the current one.
   *
   * @param version a version before the current one
   * @return the changes; empty if the history does not reach back to that version
   */
  public Optional<ConfigurationDelta> changesSince(long version) {
    return changes.stream()
        .map(ConfigurationChange::delta)
        .filter(delta -> delta.fromVersion() >= version)
        .reduce(ConfigurationDelta::then)
        .filter(delta -> delta.fromVersion() == version);
  }

  /** Returns the operator who made the latest change; the empty string if there is none. */
  String lastOperator() {
    return changes.isEmpty() ? "" : changes.get(changes.size() - 1).operator();
  }
}
