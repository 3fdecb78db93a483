package org.verbenawheel.command;

import com.google.common.collect.ImmutableMap;
import org.apache.commons.cli.Options;
import org.verbenawheel.operator.OperatorCommand;

/** Names the changes that an operator makes to maintenance, each with its options. */
enum MaintenanceChange {
  /** Starts maintenance, or begins a new period at once. */
  START(OperatorCommand.START_MAINTENANCE) {
    @Override
    CommandDefinition definition() {
      return CommandDefinition.of(
          "maintenance start",
          "Starts maintenance: every host is drained and rebooted once in each period.",
          new Options()
              .addOption(
                  GlobalOptions.valued(
                      PERIOD_DAYS, "days", "the length of a period; 49 when not given")));
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
          "Halts maintenance: no further host is taken out, those in work are brought back.",
          new Options()
              .addOption(
                  GlobalOptions.valued(REASON, "text", "why, for the others; must be given")));
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
          "Resumes maintenance; failures up to now no longer halt it.",
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

  /** Returns the command that is sent. */
  OperatorCommand command() {
    return command;
  }

  /** Returns how it is typed. */
  abstract CommandDefinition definition();

  /**
   * Returns the fields of the body that the options give.
   *
   * @param context what was typed
   * @throws CommandFailedException if an option is absent or not acceptable
   */
  abstract ImmutableMap<String, Object> fields(CommandContext context)
      throws CommandFailedException;
}
