package org.verbenawheel.command;

import org.apache.commons.cli.Options;
import org.verbenawheel.configuration.Configuration;

/**
 * Replaces the current configuration with that of a file. The expected version keeps it from
 * overwriting the change of another operator.
 */
final class ConfigurationApplyCommand implements Command {
  private static final String EXPECTED_VERSION = "expected-version";

  @Override
  public CommandDefinition definition() {
    return CommandDefinition.of(
        "configuration apply",
        "Replaces the configuration with a file, if it still has the version the file is based on.",
        new Options()
            .addOption(
                GlobalOptions.optionWithValue(
                    EXPECTED_VERSION,
                    "version",
                    "the version that the file is based on; 0 for the first configuration")),
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
                        "--expected-version is missing: without it the change of another operator"
                            + " could be lost",
                        "give the version that verbenawheel configuration show printed"));
    ConfigurationChanges.apply(context, expectedVersion, proposed);
  }
}
