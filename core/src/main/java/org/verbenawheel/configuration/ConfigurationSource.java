package org.verbenawheel.configuration;

import java.time.Instant;
import java.util.Optional;

/** Provides the configuration that an entry may use. Thread-safe. */
public interface ConfigurationSource {
  /**
   * Returns the configuration if its lease is valid.
   *
   * @param now the current time
   * @return the configuration in force; empty if the entry could not confirm it within the
   *     freshness limit and must refuse work
   */
  Optional<VersionedConfiguration> inForce(Instant now);
}
