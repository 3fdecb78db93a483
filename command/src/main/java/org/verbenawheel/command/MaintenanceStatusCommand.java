package org.verbenawheel.command;

import org.apache.commons.cli.Options;
import org.verbenawheel.maintenance.MaintenanceStatus;
import org.verbenawheel.operator.MaintenanceReport;

/** Shows the phase of maintenance, its period and its last wave. */
final class MaintenanceStatusCommand implements Command {
  @Override
  public CommandDefinition definition() {
    return CommandDefinition.of(
        "maintenance status",
        "Shows the phase of maintenance, its period and its last wave.",
        new Options());
  }

  @Override
  public void run(CommandContext context) throws CommandFailedException {
    MaintenanceReport report = context.client().maintenance();
    MaintenanceStatus status = report.status();
    Table table = new Table("phase", "period_days", "period_start", "waves", "last_wave");
    table.add(
        status.phase(),
        status.period().toDays(),
        status.periodStart(),
        status.wavesStarted(),
        status.lastWave().map(wave -> wave.availabilityZone() + " " + wave.hosts()).orElse("-"));
    status.haltReason().ifPresent(reason -> context.output().note("halted: " + reason));
    context.output().result(table, report);
  }
}
