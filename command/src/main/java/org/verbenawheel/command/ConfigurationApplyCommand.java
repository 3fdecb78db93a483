package org.verbenawheel.command;

import org.apache.commons.cli.Options;
import org.verbenawheel.configuration.Configuration;

/** Puts a configuration file in force. */
final class ConfigurationApplyCommand implements Command {
  private static final String EXPECTED_VERSION = "expected-version";

  @Override
  public CommandDefinition definition() {
    return CommandDefinition.of(
        "configuration apply",
        "Puts a file in the place of the configuration of the version that you started from.",
        new Options()
            .addOption(
                GlobalOptions.valued(
                    EXPECTED_VERSION,
                    "version",
                    "the version that the file was made from; 0 for the first configuration")),
        "file");
  }

  @Override
  public void run(CommandContext context) throws CommandFailedException {
    Configuration proposed = ConfigurationFiles.read(context.argument(0));
    long expectedVersion =
        context
            .numberOption(EXPECTED_VERSION, 0, Long.MAX_VALUE)
            .orElseThrow(
                () ->
                    new CommandFailedException(
                        ExitCode.BAD_INPUT,
                        "--expected-version is absent: without it the change of another operator"
                            + " could be lost",
                        "give the version that verbenawheel configuration show printed"));
    ConfigurationChanges.apply(context, expectedVersion, proposed);
  }
}
