package org.verbenawheel.command;

import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import org.apache.commons.cli.help.HelpFormatter;
import org.apache.commons.cli.help.TextHelpAppendable;

/** Prints the overview of all commands and the help of each command. */
final class Help {
  private final CommandCatalog catalog;
  private final PrintStream output;

  Help(CommandCatalog catalog, PrintStream output) {
    this.catalog = catalog;
    this.output = output;
  }

  /** Prints all commands and exit codes. */
  void printAll() {
    output.println("usage: verbenawheel <command> [options]");
    output.println();
    output.println("commands (verbenawheel <command> --help shows the options):");
    Table commands = new Table("", "");
    for (Command command : catalog.commands()) {
      commands.add("  " + command.definition().name(), command.definition().summary());
    }
    output.print(commands.toString().stripLeading().indent(2));
    output.println();
    printExitCodes();
  }

  private void printExitCodes() {
    output.println("exit codes:");
    for (ExitCode exitCode : ExitCode.values()) {
      output.println("  " + exitCode.number() + "  " + exitCode.meaning());
    }
  }

  /**
   * Prints the usage, summary and options of one command, and the exit codes.
   *
   * @param definition the command
   */
  void print(CommandDefinition definition) {
    try {
      HelpFormatter.builder()
          .setHelpAppendable(new TextHelpAppendable(output))
          .setShowSince(false)
          .get()
          .printHelp(
              definition.usage(),
              definition.summary(),
              GlobalOptions.withGlobalOptions(definition.options()),
              "",
              false);
    } catch (IOException unwritable) {
      throw new UncheckedIOException(unwritable);
    }
    printExitCodes();
  }
}
