package org.verbenawheel.command;

import com.google.common.collect.ImmutableMap;
import org.apache.commons.cli.Options;
import org.verbenawheel.operator.OperatorCommand;

/** The operator commands that change maintenance, each with its options and request fields. */
enum MaintenanceChange {
  /** Starts maintenance, or immediately begins a new period. */
  START(OperatorCommand.START_MAINTENANCE) {
    @Override
    CommandDefinition definition() {
      return CommandDefinition.of(
          "maintenance start",
          "Starts maintenance: every host is drained and rebooted once in each period.",
          new Options()
              .addOption(
                  GlobalOptions.optionWithValue(
                      PERIOD_DAYS, "days", "the length of a period; default: 49")));
    }

    @Override
    ImmutableMap<String, Object> fields(CommandContext context) throws CommandFailedException {
      long days =
          context.numberOption(PERIOD_DAYS, 1, MAXIMUM_PERIOD_DAYS).orElse(DEFAULT_PERIOD_DAYS);
      return ImmutableMap.of("periodDays", days);
    }
  },
  /** Halts maintenance. */
  HALT(OperatorCommand.HALT_MAINTENANCE) {
    @Override
    CommandDefinition definition() {
      return CommandDefinition.of(
          "maintenance halt",
          "Halts maintenance: takes out no further hosts and returns those under maintenance.",
          new Options()
              .addOption(
                  GlobalOptions.optionWithValue(
                      REASON, "text", "the reason, shown to other operators; required")));
    }

    @Override
    ImmutableMap<String, Object> fields(CommandContext context) throws CommandFailedException {
      return ImmutableMap.of("reason", context.requiredOption(REASON));
    }
  },
  /** Resumes maintenance after a halt. */
  RESUME(OperatorCommand.RESUME_MAINTENANCE) {
    @Override
    CommandDefinition definition() {
      return CommandDefinition.of(
          "maintenance resume",
          "Resumes maintenance; earlier failures no longer halt it.",
          new Options());
    }

    @Override
    ImmutableMap<String, Object> fields(CommandContext context) {
      return ImmutableMap.of();
    }
  };

  private static final String PERIOD_DAYS = "period-days";
  private static final String REASON = "reason";
  private static final long DEFAULT_PERIOD_DAYS = 49;
  private static final long MAXIMUM_PERIOD_DAYS = 3_650;

  private final OperatorCommand command;

  MaintenanceChange(OperatorCommand command) {
    this.command = command;
  }

  /** Returns the command to send to the control process. */
  OperatorCommand command() {
    return command;
  }

  /** Returns the name, options and summary for parsing and help. */
  abstract CommandDefinition definition();

  /**
   * Returns the fields of the request body that come from the options.
   *
   * @param context supplies the options
   * @throws CommandFailedException if an option is missing or invalid
   */
  abstract ImmutableMap<String, Object> fields(CommandContext context)
      throws CommandFailedException;
}
