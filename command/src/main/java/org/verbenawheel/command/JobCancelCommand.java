package org.verbenawheel.command;

import org.apache.commons.cli.Options;
import org.verbenawheel.operator.OperatorReply;

/** Cancels one job; cancelling it again has no effect. */
final class JobCancelCommand implements Command {
  @Override
  public CommandDefinition definition() {
    return CommandDefinition.of(
        "job cancel", "Cancels one job and stops its tasks.", new Options(), "job");
  }

  @Override
  public void run(CommandContext context) throws CommandFailedException {
    OperatorReply reply = context.client().cancelJob(Arguments.parseJobId(context.argument(0)));
    context.output().result(reply.message(), reply);
  }
}
