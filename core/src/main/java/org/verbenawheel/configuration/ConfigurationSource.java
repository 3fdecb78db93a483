package org.verbenawheel.configuration;

import java.time.Instant;
import java.util.Optional;

/** Tells an entry the configuration it may work by. Safe for use by many threads. */
public interface ConfigurationSource {
  /**
   * Returns the configuration, if its freshness lease holds at that moment.
   *
   * @param now the present moment
   * @return the configuration in force; empty if the entry could not confirm it for too long and
   *     must refuse work
   */
  Optional<VersionedConfiguration> inForce(Instant now);
}
