package org.verbenawheel.command;

import com.google.common.collect.ImmutableList;
import java.util.Optional;
import org.apache.commons.cli.Options;
import org.verbenawheel.pool.HostRecord;

/** Lists the hosts with their pools, conditions and current activities. */
final class HostListCommand implements Command {
  private static final String POOL = "pool";

  @Override
  public CommandDefinition definition() {
    return CommandDefinition.of(
        "host list",
        "Lists the hosts with their pools, conditions and activities.",
        new Options()
            .addOption(GlobalOptions.optionWithValue(POOL, "pool", "only the hosts of this pool")));
  }

  @Override
  public void run(CommandContext context) throws CommandFailedException {
    Optional<String> pool = context.option(POOL);
    ImmutableList<HostRecord> hosts =
        context.client().hosts().stream()
            .filter(host -> pool.isEmpty() || host.pool().value().equals(pool.get()))
            .collect(ImmutableList.toImmutableList());
    Table table = new Table("host", "pool", "zone", "rack", "condition", "activity", "version");
    hosts.forEach(host -> addRow(table, host));
    context.output().result(table, hosts);
  }

  private static void addRow(Table table, HostRecord host) {
    table.add(
        host.host(),
        host.pool(),
        host.location().availabilityZone(),
        host.location().rack(),
        host.condition(),
        host.activity().map(activity -> activity.kind() + " " + activity.phase()).orElse("-"),
        host.version());
  }
}
