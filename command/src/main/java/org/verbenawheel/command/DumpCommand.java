package org.verbenawheel.command;

import com.fasterxml.jackson.databind.JsonNode;
import org.apache.commons.cli.Options;

/** Prints the state of every part of one process as JSON, for debugging. */
final class DumpCommand implements Command {
  private static final String PROCESS = "process";

  @Override
  public CommandDefinition definition() {
    return CommandDefinition.of(
        "dump",
        "Prints the state of every part of one process, entry or control, as JSON.",
        new Options()
            .addOption(
                GlobalOptions.optionWithValue(
                    PROCESS, "ip:port", "the HTTP address of the process; required")));
  }

  @Override
  public void run(CommandContext context) throws CommandFailedException {
    var process = CommandContext.parseAddress(context.requiredOption(PROCESS));
    JsonNode dump = context.openClient(process).dump(process);
    context.output().result(dump.toPrettyString(), dump);
  }
}
