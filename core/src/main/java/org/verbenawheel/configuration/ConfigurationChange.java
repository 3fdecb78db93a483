package org.verbenawheel.configuration;

import java.time.Instant;

/**
 * Records one accepted change for the history.
 *
 * @param operator who made it
 * @param acceptedAt when the leader proposed it
 * @param delta what it changed; its target is the version that the change made
 */
public record ConfigurationChange(String operator, Instant acceptedAt, ConfigurationDelta delta) {
  /** Returns the version that this change made. */
  public long version() {
    return delta.toVersion();
  }
}
