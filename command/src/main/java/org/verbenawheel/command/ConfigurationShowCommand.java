package org.verbenawheel.command;

import org.apache.commons.cli.Options;
import org.verbenawheel.configuration.ConfigurationDocuments;
import org.verbenawheel.configuration.VersionedConfiguration;

/** Prints the current configuration, in the format that {@code configuration apply} reads. */
final class ConfigurationShowCommand implements Command {
  @Override
  public CommandDefinition definition() {
    return CommandDefinition.of(
        "configuration show",
        "Prints the current configuration; its version goes to standard error.",
        new Options());
  }

  @Override
  public void run(CommandContext context) throws CommandFailedException {
    VersionedConfiguration current = context.client().configuration();
    context.output().note("version " + current.version());
    context.output().result(ConfigurationDocuments.write(current.configuration()), current);
  }
}
