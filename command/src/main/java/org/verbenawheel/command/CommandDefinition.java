package org.verbenawheel.command;

import com.google.common.base.Joiner;
import com.google.common.collect.ImmutableList;
import org.apache.commons.cli.Options;

/**
 * Describes one command for parsing and help.
 *
 * @param words the words that name it, such as {@code configuration apply}
 * @param arguments the names of the required arguments, in order
 * @param summary what the command does, in one sentence
 * @param options the options of this command, without the {@link GlobalOptions}
 */
record CommandDefinition(
    ImmutableList<String> words, ImmutableList<String> arguments, String summary, Options options) {

  static CommandDefinition of(String words, String summary, Options options, String... arguments) {
    return new CommandDefinition(
        ImmutableList.copyOf(words.split(" ")), ImmutableList.copyOf(arguments), summary, options);
  }

  /** Returns the words joined by spaces, as they are typed. */
  String name() {
    return Joiner.on(' ').join(words);
  }

  /** Returns the usage line for the help, such as {@code verbenawheel job show <job> [options]}. */
  String usage() {
    StringBuilder usage = new StringBuilder("verbenawheel ").append(name());
    arguments.forEach(argument -> usage.append(" <").append(argument).append('>'));
    return usage.append(" [options]").toString();
  }
}
