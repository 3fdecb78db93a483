package org.verbenawheel.command;

import java.util.function.Function;

/** Reads names from the command line. */
final class Arguments {
  private Arguments() {}

  /**
   * Reads a name.
   *
   * @param text what was typed
   * @param make makes the name
   * @throws CommandFailedException if it is not an acceptable name
   */
  static <T> T name(String text, Function<String, T> make) throws CommandFailedException {
    try {
      return make.apply(text);
    } catch (IllegalArgumentException notAName) {
      throw new CommandFailedException(
          ExitCode.BAD_INPUT,
          String.valueOf(notAName.getMessage()),
          "give a name of letters, digits and . _ : -");
    }
  }
}
