package org.verbenawheel.maintenance;

import java.time.Duration;
import org.verbenawheel.capacity.FailureRates;

/**
 * The parameters of the {@link WavePlanner}.
 *
 * @param rates how often hosts and availability zones are lost
 * @param waveTime how long the hosts of a wave are out of service
 * @param settleTime how long to wait for failures to show after a host is maintained; at least the
 *     delay of the platform's usage reports
 */
public record MaintenanceSettings(FailureRates rates, Duration waveTime, Duration settleTime) {
  /** Hosts are out of service for 15 minutes, and failures have 2 minutes to show. */
  public static final MaintenanceSettings DEFAULT =
      new MaintenanceSettings(FailureRates.ORDINARY, Duration.ofMinutes(15), Duration.ofMinutes(2));
}
