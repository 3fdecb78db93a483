package org.verbenawheel.command;

import org.verbenawheel.configuration.ApplyConfiguration;
import org.verbenawheel.configuration.Configuration;
import org.verbenawheel.configuration.ConfigurationRequest;
import org.verbenawheel.operator.OperatorReply;

/** Sends a proposed configuration for the commands that change the configuration. */
final class ConfigurationChanges {
  private ConfigurationChanges() {}

  /**
   * Proposes a configuration and prints the reply.
   *
   * <p>If the accepted version is not newer than the version read before sending, an earlier send
   * of the same command was applied.
   *
   * @param context supplies the client, the output and the command identity
   * @param expectedVersion the version that the proposal replaces; the proposal is refused if the
   *     current version is another
   * @param proposed the complete configuration
   * @throws CommandFailedException if it was refused, or no process accepted it in time
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
