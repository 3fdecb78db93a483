package org.verbenawheel.command;

import org.apache.commons.cli.Options;
import org.verbenawheel.configuration.Configuration;
import org.verbenawheel.configuration.VersionedConfiguration;

/** Shows what a configuration file would change, without sending it. */
final class ConfigurationDiffCommand implements Command {
  @Override
  public CommandDefinition definition() {
    return CommandDefinition.of(
        "configuration diff",
        "Shows what a file would change in the current configuration.",
        new Options(),
        "file");
  }

  @Override
  public void run(CommandContext context) throws CommandFailedException {
    Configuration proposed = ConfigurationFiles.read(context.argument(0));
    VersionedConfiguration current = context.client().configuration();
    ConfigurationDifference difference =
        ConfigurationDifference.between(current.configuration(), proposed);
    context.output().note("against version " + current.version());
    context.output().result(difference, difference);
  }
}
