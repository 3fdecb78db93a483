package org.verbenawheel.command;

import org.apache.commons.cli.Options;
import org.verbenawheel.configuration.ServiceSettings;
import org.verbenawheel.configuration.VersionedConfiguration;

/** Lists the services of the current configuration. */
final class ServiceListCommand implements Command {
  @Override
  public CommandDefinition definition() {
    return CommandDefinition.of(
        "service list", "Lists the services with their pools and limits.", new Options());
  }

  @Override
  public void run(CommandContext context) throws CommandFailedException {
    VersionedConfiguration current = context.client().configuration();
    Table table =
        new Table("service", "pool", "work", "budget", "deadline_ms", "queue", "slots", "short_ms");
    current.configuration().services().values().forEach(service -> addRow(table, service));
    context.output().result(table, current.configuration().services().values());
  }

  private static void addRow(Table table, ServiceSettings service) {
    table.add(
        service.name(),
        service.pool(),
        service.workClass(),
        service.availabilityBudget(),
        service.deadlineMilliseconds(),
        service.queueLimit(),
        service.slotsPerEndpoint(),
        service.shortWorkMilliseconds());
  }
}
