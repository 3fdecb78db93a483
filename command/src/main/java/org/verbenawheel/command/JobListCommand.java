package org.verbenawheel.command;

import com.google.common.collect.ImmutableList;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.verbenawheel.operator.JobReport;

/** Lists the jobs in the order in which they were accepted. */
final class JobListCommand implements Command {
  private static final String QUEUE = "queue";
  private static final String ENDED = "ended";

  @Override
  public CommandDefinition definition() {
    return CommandDefinition.of(
        "job list",
        "Lists the jobs that have not ended, the oldest 1,000 of them.",
        new Options()
            .addOption(GlobalOptions.optionWithValue(QUEUE, "queue", "only the jobs of this queue"))
            .addOption(
                Option.builder()
                    .longOpt(ENDED)
                    .desc("also lists the jobs that ended recently")
                    .get()));
  }

  @Override
  public void run(CommandContext context) throws CommandFailedException {
    ImmutableList<JobReport> jobs =
        context.client().jobs(context.option(QUEUE), context.hasOption(ENDED));
    Table table = table();
    jobs.forEach(job -> addRow(table, job));
    context.output().result(table, jobs);
  }

  static Table table() {
    return new Table(
        "job", "queue", "pool", "phase", "accepted", "tasks", "bound", "unfinished", "failures");
  }

  static void addRow(Table table, JobReport job) {
    table.add(
        job.id(),
        job.queue(),
        job.pool(),
        job.phase(),
        job.acceptedAt(),
        job.tasks(),
        job.boundTasks(),
        job.unfinishedTasks(),
        job.failures());
  }
}
