package org.verbenawheel.command;

import org.apache.commons.cli.Options;
import org.verbenawheel.operator.JobDetails;
import org.verbenawheel.operator.JobDetails.TaskReport;

/** Shows one job and the workers that run its tasks. */
final class JobShowCommand implements Command {
  @Override
  public CommandDefinition definition() {
    return CommandDefinition.of(
        "job show",
        "Shows the tasks of one job and the workers that run them.",
        new Options(),
        "job");
  }

  @Override
  public void run(CommandContext context) throws CommandFailedException {
    JobDetails details = context.client().job(Arguments.parseJobId(context.argument(0)));
    context.output().note("job " + details.job().id() + " is " + details.job().phase());
    Table table = new Table("task", "phase", "run", "failures", "worker");
    for (TaskReport task : details.tasks()) {
      table.add(task.task(), task.phase(), task.run(), task.failures(), task.worker().orElse("-"));
    }
    context.output().result(table, details);
  }
}
