package org.verbenawheel.command;

import com.google.common.collect.ImmutableMap;
import org.verbenawheel.identity.CommandId;
import org.verbenawheel.maintenance.MaintenanceStatus;
import org.verbenawheel.operator.OperatorReply;

/** Starts, halts or resumes maintenance, provided its status has not changed since it was read. */
final class MaintenanceChangeCommand implements Command {
  private final MaintenanceChange change;

  MaintenanceChangeCommand(MaintenanceChange change) {
    this.change = change;
  }

  @Override
  public CommandDefinition definition() {
    return change.definition();
  }

  @Override
  public void run(CommandContext context) throws CommandFailedException {
    ImmutableMap<String, Object> fields = change.fields(context);
    MaintenanceStatus status = context.client().maintenance().status();
    CommandId commandId = context.commandId();
    OperatorReply reply =
        context
            .client()
            .command(
                change.command(),
                commandId,
                ImmutableMap.<String, Object>builder()
                    .putAll(fields)
                    .put("expectedVersion", status.version())
                    .buildOrThrow());
    boolean alreadyDone =
        reply.version().filter(version -> version <= status.version()).isPresent();
    String text = alreadyDone ? "already done: " + reply.message() : reply.message();
    context.output().result(text, new CommandResult(commandId, alreadyDone, reply));
  }
}
