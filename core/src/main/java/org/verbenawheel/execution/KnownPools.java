package org.verbenawheel.execution;

import org.verbenawheel.job.JobRegistry;
import org.verbenawheel.queue.FleetConfigurationState;

/**
 * Tells which pools have workers of this installation: those that the configuration in force names,
 * and those that jobs were accepted for, since a later configuration may no longer name them.
 * Confined to the state thread.
 */
final class KnownPools {
  private final FleetConfigurationState configuration;
  private final JobRegistry jobRegistry;

  KnownPools(FleetConfigurationState configuration, JobRegistry jobRegistry) {
    this.configuration = configuration;
    this.jobRegistry = jobRegistry;
  }

  /** Returns whether a configuration is in force. */
  boolean isConfigured() {
    return configuration.current().isPresent();
  }

  /** Returns whether workers of a pool can be used. */
  boolean contains(String pool) {
    return isNamed(pool)
        || jobRegistry.active().stream().anyMatch(job -> job.limits().pool().equals(pool));
  }

  private boolean isNamed(String pool) {
    return configuration
        .current()
        .filter(current -> current.pools().stream().anyMatch(known -> known.name().equals(pool)))
        .isPresent();
  }
}
