package org.verbenawheel.command;

import com.fasterxml.jackson.databind.JsonNode;
import org.apache.commons.cli.Options;

/** Prints the state of every part of one process. */
final class DumpCommand implements Command {
  private static final String PROCESS = "process";

  @Override
  public CommandDefinition definition() {
    return CommandDefinition.of(
        "dump",
        "Prints the state of every part of one process, entry or control, as JSON.",
        new Options()
            .addOption(
                GlobalOptions.valued(
                    PROCESS, "ip:port", "the HTTP address of the process; must be given")));
  }

  @Override
  public void run(CommandContext context) throws CommandFailedException {
    var process = CommandContext.parseAddress(context.requiredOption(PROCESS));
    JsonNode dump = context.clientOf(process).dump(process);
    context.output().result(dump.toPrettyString(), dump);
  }
}
