package org.verbenawheel.command;

import org.verbenawheel.configuration.ApplyConfiguration;
import org.verbenawheel.configuration.Configuration;
import org.verbenawheel.configuration.ConfigurationRequest;
import org.verbenawheel.operator.OperatorReply;

/** Sends changes of the configuration for the commands that make them. */
final class ConfigurationChanges {
  private ConfigurationChanges() {}

  /**
   * Proposes a configuration and prints what came of it.
   *
   * <p>An accepted version that stood before the command was sent shows that this is a resend.
   *
   * @param context the command
   * @param expectedVersion the version that the proposal replaces
   * @param proposed the whole configuration
   * @throws CommandFailedException if it was refused
   */
  static void apply(CommandContext context, long expectedVersion, Configuration proposed)
      throws CommandFailedException {
    long versionBefore = context.client().configuration().version();
    ConfigurationRequest request =
        new ConfigurationRequest(
            context.commandId(),
            new ApplyConfiguration(expectedVersion, proposed, context.operator()));
    OperatorReply reply = context.client().apply(request);
    boolean alreadyDone = reply.version().filter(version -> version <= versionBefore).isPresent();
    String text = alreadyDone ? "already done: " + reply.message() : reply.message();
    context.output().result(text, new CommandResult(request.commandId(), alreadyDone, reply));
  }
}
