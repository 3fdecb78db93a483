package org.verbenawheel.command;

import java.nio.file.Path;
import org.verbenawheel.configuration.Configuration;
import org.verbenawheel.configuration.ConfigurationDocuments;
import org.verbenawheel.document.DocumentException;
import org.verbenawheel.document.DocumentReader;

/** Reads configuration files that the command line names. */
final class ConfigurationFiles {
  private ConfigurationFiles() {}

  /**
   * Reads a file.
   *
   * @param file a YAML or JSON file
   * @throws CommandFailedException with every problem of the file
   */
  static Configuration read(String file) throws CommandFailedException {
    try {
      return ConfigurationDocuments.read(DocumentReader.readFile(Path.of(file)));
    } catch (DocumentException refused) {
      throw new CommandFailedException(
          ExitCode.BAD_INPUT,
          String.valueOf(refused.getMessage()),
          "mend these values; nothing was sent");
    }
  }
}
