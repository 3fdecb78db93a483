package org.verbenawheel.command;

import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;

/** Names the options that every command takes. */
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
   * Returns the options of one command with those that every command takes.
   *
   * @param own the options of the command alone
   */
  static Options with(Options own) {
    Options all = new Options();
    own.getOptions().forEach(all::addOption);
    all.addOption(
        valued(
            CONTROL,
            "ip:port,...",
            "HTTP addresses of control processes; VERBENAWHEEL_CONTROL when not given"));
    all.addOption(
        valued(
            TOKEN_FILE,
            "file",
            "file with the operator token; VERBENAWHEEL_TOKEN_FILE when not given"));
    all.addOption(valued(OUTPUT, "text|json", "form of the result; text when not given"));
    all.addOption(
        valued(TIMEOUT_SECONDS, "seconds", "how long to go on trying; 10 when not given"));
    all.addOption(
        valued(
            COMMAND_ID,
            "identity",
            "identity of a command that changes something; a new one is made and printed when not"
                + " given; the same identity again does nothing twice"));
    all.addOption(
        valued(OPERATOR, "name", "who asks, for the history; the user's name when not given"));
    all.addOption(Option.builder().longOpt(HELP).desc("shows this help").get());
    return all;
  }

  /**
   * Makes an option with a value.
   *
   * @param name the name after two dashes
   * @param value the name of the value in the help
   * @param description what it means
   */
  static Option valued(String name, String value, String description) {
    return Option.builder().longOpt(name).hasArg().argName(value).desc(description).get();
  }
}
