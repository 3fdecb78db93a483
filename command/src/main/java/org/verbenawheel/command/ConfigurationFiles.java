package org.verbenawheel.command;

import java.nio.file.Path;
import org.verbenawheel.configuration.Configuration;
import org.verbenawheel.configuration.ConfigurationDocuments;
import org.verbenawheel.document.DocumentException;
import org.verbenawheel.document.DocumentReader;

/** Reads configuration files given on the command line. */
final class ConfigurationFiles {
  private ConfigurationFiles() {}

  /**
   * Reads a configuration and validates its fields.
   *
   * @param file the path of a YAML or JSON file
   * @throws CommandFailedException listing every problem of the file
   */
  static Configuration read(String file) throws CommandFailedException {
    try {
      return ConfigurationDocuments.read(DocumentReader.readFile(Path.of(file)));
    } catch (DocumentException invalid) {
      throw new CommandFailedException(
          ExitCode.BAD_INPUT,
          String.valueOf(invalid.getMessage()),
          "correct these values; nothing was sent");
    }
  }
}
