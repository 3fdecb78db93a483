package org.verbenawheel.configuration;

import java.time.Instant;

/**
 * An accepted change of the configuration, as the history records it.
 *
 * @param operator the operator who made the change
 * @param acceptedAt the time at which the leader proposed the change
 * @param delta the difference to the previous version; its {@code toVersion} is the version that
 *     the change created
 */
public record ConfigurationChange(String operator, Instant acceptedAt, ConfigurationDelta delta) {
  /** Returns the version that this change created. */
  public long version() {
    return delta.toVersion();
  }
}
