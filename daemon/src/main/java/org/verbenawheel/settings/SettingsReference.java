package org.verbenawheel.settings;

import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Generates the operators' reference page of all settings from their definitions. */
public final class SettingsReference {
  private SettingsReference() {}

  /**
   * Writes the page to a file.
   *
   * @param arguments one argument, the file to write: {@code docs/operate/settings-reference.md} in
   *     the repository
   * @throws IOException if the file cannot be written
   */
  public static void main(String[] arguments) throws IOException {
    if (arguments.length != 1) {
      throw new IllegalArgumentException("give one argument: the file to write");
    }
    Files.writeString(Path.of(arguments[0]), page());
  }

  /** Returns the reference page in Markdown, as the file in the repository must contain it. */
  static String page() {
    return """
    # Settings reference

    Generated from the settings' definitions by `org.verbenawheel.settings.SettingsReference`; a test
    keeps it current. Each process reads one YAML file. A file with a problem starts nothing: the
    process prints every problem, one a line, and ends with code 2.

    ## Entry process

    %s
    ## Control process

    %s"""
        .formatted(table(EntrySettingDefinitions.ALL), table(ControlSettingDefinitions.ALL));
  }

  private static String table(ImmutableList<SettingDefinition> definitions) {
    StringBuilder table = new StringBuilder("| key | value | default | meaning |\n");
    table.append("| --- | --- | --- | --- |\n");
    for (SettingDefinition definition : definitions) {
      table.append(row(definition));
    }
    return table.toString();
  }

  private static String row(SettingDefinition definition) {
    return "| `%s` | %s | %s | %s |\n"
        .formatted(
            definition.key(),
            definition.expected(),
            defaultOf(definition),
            definition.description());
  }

  private static String defaultOf(SettingDefinition definition) {
    if (definition.presence() == SettingDefinition.Presence.REQUIRED) {
      return "must be given";
    }
    return definition.defaultNumber().map(Object::toString).orElse("none");
  }
}
