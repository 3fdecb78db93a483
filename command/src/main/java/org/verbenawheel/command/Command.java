package org.verbenawheel.command;

/** One command of the command line. */
interface Command {
  /** Returns how it is named, what it takes and what it does. */
  CommandDefinition definition();

  /**
   * Runs it.
   *
   * @param context what was given on the command line, and where output goes
   * @throws CommandFailedException if it did not do what it says
   */
  void run(CommandContext context) throws CommandFailedException;
}
