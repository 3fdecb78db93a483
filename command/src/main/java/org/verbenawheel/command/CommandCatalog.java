package org.verbenawheel.command;

import com.google.common.collect.ImmutableList;
import java.util.List;
import java.util.Optional;

/** Holds all commands and finds the one that the arguments name. */
final class CommandCatalog {
  private final ImmutableList<Command> commands;

  CommandCatalog(ImmutableList<Command> commands) {
    this.commands = commands;
  }

  /** Returns the commands of the command line. */
  static CommandCatalog standard() {
    return new CommandCatalog(
        ImmutableList.of(
            new StatusCommand(),
            new ConfigurationShowCommand(),
            new ConfigurationApplyCommand(),
            new ConfigurationHistoryCommand(),
            new ConfigurationDiffCommand(),
            new ServiceListCommand(),
            new PoolListCommand(),
            new PoolCreateCommand(),
            new PoolMoveCommand(),
            new HostListCommand(),
            new HostRegisterCommand(),
            new HostRetireCommand(),
            new MaintenancePlanCommand(),
            new MaintenanceStatusCommand(),
            new MaintenanceChangeCommand(MaintenanceChange.START),
            new MaintenanceChangeCommand(MaintenanceChange.HALT),
            new MaintenanceChangeCommand(MaintenanceChange.RESUME),
            new JobListCommand(),
            new JobShowCommand(),
            new JobCancelCommand(),
            new WorkerListCommand(),
            new ReplicaListCommand(),
            new QuestionnaireCommand(),
            new DumpCommand()));
  }

  /** Returns the commands in the order of the help. */
  ImmutableList<Command> commands() {
    return commands;
  }

  /**
   * Returns the command whose words the arguments start with.
   *
   * @param arguments the arguments of the process
   */
  Optional<Command> find(List<String> arguments) {
    return commands.stream()
        .filter(command -> startsWith(arguments, command.definition().words()))
        .findFirst();
  }

  private static boolean startsWith(List<String> arguments, ImmutableList<String> words) {
    return arguments.size() >= words.size() && arguments.subList(0, words.size()).equals(words);
  }
}
