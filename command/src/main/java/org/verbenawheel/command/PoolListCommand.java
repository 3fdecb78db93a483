package org.verbenawheel.command;

import com.google.common.collect.ImmutableList;
import org.apache.commons.cli.Options;
import org.verbenawheel.operator.PoolReport;

/** Lists the pools with the number of hosts in each condition. */
final class PoolListCommand implements Command {
  @Override
  public CommandDefinition definition() {
    return CommandDefinition.of(
        "pool list", "Lists the pools and counts their hosts.", new Options());
  }

  @Override
  public void run(CommandContext context) throws CommandFailedException {
    ImmutableList<PoolReport> pools = context.client().pools();
    Table table =
        new Table(
            "pool", "role", "minimum", "maximum", "hosts", "in_service", "off", "lost", "busy");
    for (PoolReport pool : pools) {
      table.add(
          pool.name(),
          pool.role(),
          pool.minimumHosts(),
          pool.maximumHosts(),
          pool.hosts(),
          pool.inService(),
          pool.off(),
          pool.lost(),
          pool.inActivity());
    }
    context.output().result(table, pools);
  }
}
