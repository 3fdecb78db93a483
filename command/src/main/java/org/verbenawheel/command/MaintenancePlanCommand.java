package org.verbenawheel.command;

import com.google.common.base.Joiner;
import org.apache.commons.cli.Options;
import org.verbenawheel.operator.MaintenanceReport;

/** Shows the next step of maintenance, its reason, and the hosts that it would take out. */
final class MaintenancePlanCommand implements Command {
  @Override
  public CommandDefinition definition() {
    return CommandDefinition.of(
        "maintenance plan",
        "Shows the next step of maintenance, its reason, and the hosts that it would take out.",
        new Options());
  }

  @Override
  public void run(CommandContext context) throws CommandFailedException {
    MaintenanceReport report = context.client().maintenance();
    Table table = new Table("next", "reason", "hosts");
    table.add(
        report.nextOutcome(),
        report.nextReason(),
        report.nextHosts().isEmpty() ? "-" : Joiner.on(", ").join(report.nextHosts()));
    context.output().result(table, report);
  }
}
