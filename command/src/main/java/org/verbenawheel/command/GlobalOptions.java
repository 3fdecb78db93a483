package org.verbenawheel.command;

import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;

/** Defines the options that every command accepts. */
final class GlobalOptions {
  static final String CONTROL = "control";
  static final String TOKEN_FILE = "token-file";
  static final String OUTPUT = "output";
  static final String TIMEOUT_SECONDS = "timeout-seconds";
  static final String COMMAND_ID = "command-id";
  static final String OPERATOR = "operator";
  static final String HELP = "help";

  private GlobalOptions() {}

  /**
   * Returns the options of one command and the global options.
   *
   * @param own the options defined by the command
   */
  static Options withGlobalOptions(Options own) {
    Options all = new Options();
    own.getOptions().forEach(all::addOption);
    all.addOption(
        optionWithValue(
            CONTROL,
            "ip:port,...",
            "HTTP addresses of control processes; default: VERBENAWHEEL_CONTROL"));
    all.addOption(
        optionWithValue(
            TOKEN_FILE, "file", "file with the operator token; default: VERBENAWHEEL_TOKEN_FILE"));
    all.addOption(optionWithValue(OUTPUT, "text|json", "format of the result; default: text"));
    all.addOption(
        optionWithValue(TIMEOUT_SECONDS, "seconds", "how long to retry, in seconds; default: 10"));
    all.addOption(
        optionWithValue(
            COMMAND_ID,
            "identity",
            "identity of a command that changes state, which is applied at most once for each"
                + " identity; default: a new identity, which is printed"));
    all.addOption(
        optionWithValue(
            OPERATOR, "name", "name of the operator for the history; default: the login name"));
    all.addOption(Option.builder().longOpt(HELP).desc("shows this help").get());
    return all;
  }

  /**
   * Creates an option that takes a value.
   *
   * @param name the long name, without the dashes
   * @param value the placeholder of the value in the help
   * @param description the help text
   */
  static Option optionWithValue(String name, String value, String description) {
    return Option.builder().longOpt(name).hasArg().argName(value).desc(description).get();
  }
}
