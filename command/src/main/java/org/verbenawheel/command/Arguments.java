package org.verbenawheel.command;

import java.util.function.Function;
import org.verbenawheel.gateway.JobIds;

/** Parses job ids and names given on the command line, and rejects them before anything is sent. */
final class Arguments {
  private Arguments() {}

  /**
   * Returns the argument if it has the form of a job id.
   *
   * @param text the argument as typed
   * @throws CommandFailedException if it does not have that form
   */
  static String parseJobId(String text) throws CommandFailedException {
    if (!JobIds.isAcceptable(text)) {
      throw new CommandFailedException(
          ExitCode.BAD_INPUT,
          "not a job id: " + text,
          "give an id listed by: verbenawheel job list");
    }
    return text;
  }

  /**
   * Converts an argument to a typed name, such as a host or pool name.
   *
   * @param text the argument as typed
   * @param factory the constructor of the type; throws IllegalArgumentException for an invalid name
   * @throws CommandFailedException if the name is invalid
   */
  static <T> T parseName(String text, Function<String, T> factory) throws CommandFailedException {
    try {
      return factory.apply(text);
    } catch (IllegalArgumentException invalidName) {
      throw new CommandFailedException(
          ExitCode.BAD_INPUT,
          String.valueOf(invalidName.getMessage()),
          "give a name of letters, digits and . _ : -");
    }
  }
}
