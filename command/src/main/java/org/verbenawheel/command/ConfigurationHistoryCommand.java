package org.verbenawheel.command;

import com.google.common.collect.ImmutableList;
import org.apache.commons.cli.Options;
import org.verbenawheel.configuration.ConfigurationChange;
import org.verbenawheel.configuration.ConfigurationDelta;

/** Lists the recent changes of the configuration. */
final class ConfigurationHistoryCommand implements Command {
  @Override
  public CommandDefinition definition() {
    return CommandDefinition.of(
        "configuration history",
        "Lists the recent changes: version, time, operator, and number of changed and removed"
            + " services and pools.",
        new Options());
  }

  @Override
  public void run(CommandContext context) throws CommandFailedException {
    ImmutableList<ConfigurationChange> changes = context.client().configurationHistory();
    Table table = new Table("version", "accepted", "operator", "services", "pools");
    changes.forEach(change -> addRow(table, change));
    context.output().result(table, changes);
  }

  private static void addRow(Table table, ConfigurationChange change) {
    ConfigurationDelta delta = change.delta();
    table.add(
        change.version(),
        change.acceptedAt(),
        change.operator(),
        formatCounts(delta.changedServices().size(), delta.removedServices().size()),
        formatCounts(delta.changedPools().size(), delta.removedPools().size()));
  }

  private static String formatCounts(int changed, int removed) {
    return changed + " changed, " + removed + " removed";
  }
}
