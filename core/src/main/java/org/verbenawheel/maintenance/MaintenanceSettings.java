package org.verbenawheel.maintenance;

import java.time.Duration;
import org.verbenawheel.capacity.FailureRates;

/**
 * What the planning of waves goes by.
 *
 * @param rates how often hosts and availability zones are lost
 * @param waveTime how long hosts of a wave are out of service
 * @param settleTime how long to wait after a wave for failures to show; at least the lag of usage
 */
public record MaintenanceSettings(FailureRates rates, Duration waveTime, Duration settleTime) {
  /** Waves of 15 minutes, and 2 minutes for failures to show. */
  public static final MaintenanceSettings DEFAULT =
      new MaintenanceSettings(FailureRates.ORDINARY, Duration.ofMinutes(15), Duration.ofMinutes(2));
}
