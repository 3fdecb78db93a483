package org.verbenawheel.operator;

import com.google.common.collect.ImmutableList;
import org.verbenawheel.identity.HostName;
import org.verbenawheel.maintenance.MaintenanceCommand;
import org.verbenawheel.maintenance.MaintenanceStatus;
import org.verbenawheel.maintenance.WaveStep;

/**
 * Answers {@code GET /v1/maintenance}: how far maintenance has come and what would be done next.
 *
 * @param status how far it has come
 * @param nextOutcome what the planner would do now
 * @param nextReason why
 * @param nextHosts the hosts of the wave that it would start; none unless it would start one
 */
public record MaintenanceReport(
    MaintenanceStatus status,
    String nextOutcome,
    String nextReason,
    ImmutableList<HostName> nextHosts) {

  /**
   * Makes a report.
   *
   * @param status how far maintenance has come
   * @param next what the planner would do now
   */
  public static MaintenanceReport of(MaintenanceStatus status, WaveStep next) {
    ImmutableList<HostName> hosts =
        next.commands().stream()
            .filter(MaintenanceCommand.StartWave.class::isInstance)
            .flatMap(command -> ((MaintenanceCommand.StartWave) command).hosts().stream())
            .collect(ImmutableList.toImmutableList());
    return new MaintenanceReport(status, next.outcome(), next.reason(), hosts);
  }
}
