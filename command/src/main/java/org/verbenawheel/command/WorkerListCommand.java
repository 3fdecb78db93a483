package org.verbenawheel.command;

import com.google.common.collect.ImmutableList;
import java.util.Optional;
import org.apache.commons.cli.Options;
import org.verbenawheel.operator.WorkerReport;

/** Lists the workers with their CPU capacity and the tasks bound to them. */
final class WorkerListCommand implements Command {
  private static final String POOL = "pool";

  @Override
  public CommandDefinition definition() {
    return CommandDefinition.of(
        "worker list",
        "Lists the workers and counts the tasks bound to them.",
        new Options()
            .addOption(
                GlobalOptions.optionWithValue(POOL, "pool", "only the workers of this pool")));
  }

  @Override
  public void run(CommandContext context) throws CommandFailedException {
    Optional<String> pool = context.option(POOL);
    ImmutableList<WorkerReport> workers =
        context.client().workers().stream()
            .filter(worker -> pool.isEmpty() || worker.pool().equals(pool.get()))
            .collect(ImmutableList.toImmutableList());
    Table table =
        new Table(
            "worker",
            "host",
            "pool",
            "zone",
            "address",
            "draining",
            "millicores",
            "bound",
            "tasks");
    for (WorkerReport worker : workers) {
      table.add(
          worker.id(),
          worker.host(),
          worker.pool(),
          worker.availabilityZone(),
          worker.address(),
          worker.draining(),
          worker.cpuMillicores(),
          worker.boundMillicores(),
          worker.boundTasks());
    }
    context.output().result(table, workers);
  }
}
