package org.verbenawheel.operator;

import com.google.common.collect.ImmutableList;
import org.verbenawheel.identity.HostName;
import org.verbenawheel.maintenance.MaintenanceCommand;
import org.verbenawheel.maintenance.MaintenanceStatus;
import org.verbenawheel.maintenance.WaveStep;

/**
 * The response of {@code GET /v1/maintenance}: the progress of maintenance and its next step.
 *
 * @param status the progress of maintenance
 * @param nextOutcome the kind of step that the planner would take now
 * @param nextReason why it would take it
 * @param nextHosts the hosts of the wave that this step would start; empty if it starts none
 */
public record MaintenanceReport(
    MaintenanceStatus status,
    String nextOutcome,
    String nextReason,
    ImmutableList<HostName> nextHosts) {

  /**
   * Creates a report.
   *
   * @param status the progress of maintenance
   * @param next the step that the planner would take now
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
