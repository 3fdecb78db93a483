package org.verbenawheel.daemon;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.verbenawheel.supervision.PartFailedException;

/** Reads a file that contains a single secret. */
public final class SecretFile {
  private static final int MINIMUM_SECRET_LENGTH = 16;

  private SecretFile() {}

  /**
   * Returns the secret without white space around it.
   *
   * @param file the file that a setting names
   * @param setting the key of that setting, for the error message
   * @throws PartFailedException if the file cannot be read or the secret is shorter than 16
   *     characters
   */
  public static String read(Path file, String setting) throws PartFailedException {
    String secret = readText(file, setting).strip();
    if (secret.length() < MINIMUM_SECRET_LENGTH) {
      throw new PartFailedException(
          setting + ": " + file + " must hold at least " + MINIMUM_SECRET_LENGTH + " characters");
    }
    return secret;
  }

  private static String readText(Path file, String setting) throws PartFailedException {
    try {
      return Files.readString(file);
    } catch (IOException unreadable) {
      throw new PartFailedException(
          setting + ": cannot read " + file + ": write the deployment's secret there", unreadable);
    }
  }
}
