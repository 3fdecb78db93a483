package org.verbenawheel.command;

/** One command of the command line. */
interface Command {
  /** Returns the name, arguments, options and summary for parsing and help. */
  CommandDefinition definition();

  /**
   * Runs the command on the calling thread and prints its result.
   *
   * @param context the parsed arguments and options, the output and the client
   * @throws CommandFailedException if the command failed, was refused or has an unknown outcome
   */
  void run(CommandContext context) throws CommandFailedException;
}
