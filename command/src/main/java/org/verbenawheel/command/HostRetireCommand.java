package org.verbenawheel.command;

import com.google.common.collect.ImmutableMap;
import org.apache.commons.cli.Options;
import org.verbenawheel.identity.CommandId;
import org.verbenawheel.identity.HostName;
import org.verbenawheel.operator.OperatorCommand;
import org.verbenawheel.operator.OperatorReply;
import org.verbenawheel.pool.HostRecord;

/** Removes a host that is off or lost from the fleet. */
final class HostRetireCommand implements Command {
  @Override
  public CommandDefinition definition() {
    return CommandDefinition.of(
        "host retire",
        "Permanently removes a host that is off or lost from the fleet.",
        new Options(),
        "host");
  }

  @Override
  public void run(CommandContext context) throws CommandFailedException {
    HostName name = Arguments.parseName(context.argument(0), HostName::new);
    HostRecord host = Hosts.find(context.client(), name);
    CommandId commandId = context.commandId();
    OperatorReply reply =
        context
            .client()
            .command(
                OperatorCommand.RETIRE_HOST,
                commandId,
                ImmutableMap.of("host", name, "expectedVersion", host.version()));
    context.output().result(reply.message(), new CommandResult(commandId, false, reply));
  }
}
