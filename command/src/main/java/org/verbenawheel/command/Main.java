package org.verbenawheel.command;

import java.io.InputStream;
import java.io.PrintStream;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.ParseException;

/** Entry point of the operators' command line {@code verbenawheel}. */
public final class Main {
  private static final String HELP_OPTION = "--help";

  private final CommandCatalog catalog;
  private final InputStream standardInput;
  private final PrintStream standardOutput;
  private final PrintStream standardError;
  private final Map<String, String> environment;

  Main(
      CommandCatalog catalog,
      InputStream standardInput,
      PrintStream standardOutput,
      PrintStream standardError,
      Map<String, String> environment) {
    this.catalog = catalog;
    this.standardInput = standardInput;
    this.standardOutput = standardOutput;
    this.standardError = standardError;
    this.environment = environment;
  }

  /**
   * Runs one command and ends the process with its exit code.
   *
   * @param arguments the command and its options
   */
  public static void main(String[] arguments) {
    Main main =
        new Main(CommandCatalog.standard(), System.in, System.out, System.err, System.getenv());
    System.exit(main.run(Arrays.asList(arguments)).number());
  }

  /**
   * Runs one command; prints a failure on standard error and returns its exit code.
   *
   * @param arguments the command and its options
   */
  ExitCode run(List<String> arguments) {
    Help help = new Help(catalog, standardOutput);
    if (arguments.isEmpty() || arguments.equals(List.of(HELP_OPTION))) {
      help.printAll();
      return arguments.isEmpty() ? ExitCode.BAD_INPUT : ExitCode.DONE;
    }
    try {
      Command command =
          catalog
              .find(arguments)
              .orElseThrow(
                  () -> badInput("no such command: " + arguments, "see: verbenawheel --help"));
      if (arguments.contains(HELP_OPTION)) {
        help.print(command.definition());
        return ExitCode.DONE;
      }
      runCommand(command, arguments);
      return ExitCode.DONE;
    } catch (CommandFailedException failure) {
      standardError.println("error: " + failure.getMessage());
      if (!failure.fix().isEmpty()) {
        standardError.println("try: " + failure.fix());
      }
      return failure.exitCode();
    }
  }

  private void runCommand(Command command, List<String> arguments) throws CommandFailedException {
    CommandDefinition definition = command.definition();
    CommandLine line =
        parse(definition, arguments.subList(definition.words().size(), arguments.size()));
    Output output = new Output(parseFormat(line), standardOutput, standardError);
    try (CommandContext context = new CommandContext(line, output, standardInput, environment)) {
      command.run(context);
    }
  }

  private static CommandLine parse(CommandDefinition definition, List<String> arguments)
      throws CommandFailedException {
    try {
      CommandLine line =
          DefaultParser.builder()
              .setAllowPartialMatching(false)
              .get()
              .parse(
                  GlobalOptions.withGlobalOptions(definition.options()),
                  arguments.toArray(String[]::new));
      if (line.getArgList().size() != definition.arguments().size()) {
        throw badInput(
            "unexpected number of arguments: " + line.getArgList().size() + " " + line.getArgList(),
            definition.usage());
      }
      return line;
    } catch (ParseException malformed) {
      throw badInput(
          String.valueOf(malformed.getMessage()),
          "see: verbenawheel " + definition.name() + " --help");
    }
  }

  private static Output.Format parseFormat(CommandLine line) throws CommandFailedException {
    String text = line.getOptionValue(GlobalOptions.OUTPUT, Output.Format.TEXT.name());
    try {
      return Output.Format.valueOf(text.toUpperCase(Locale.ROOT));
    } catch (IllegalArgumentException unknownFormat) {
      throw badInput("--output: found " + text, "give text or json");
    }
  }

  private static CommandFailedException badInput(String error, String fix) {
    return new CommandFailedException(ExitCode.BAD_INPUT, error, fix);
  }
}
