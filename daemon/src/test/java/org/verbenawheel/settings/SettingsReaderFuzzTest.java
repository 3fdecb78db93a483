package org.verbenawheel.settings;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Random;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.verbenawheel.document.DocumentException;

/**
 * Corrupts a valid settings file at random. The reader must either read the result or throw a
 * {@link DocumentException} with problems, and no other exception.
 */
final class SettingsReaderFuzzTest {
  private static final String VALID_SETTINGS =
      """
      process: control-1
      availabilityZone: tamar
      region: tasmania
      httpAddress: 127.0.0.1:9080
      peerAddress: 127.0.0.1:7100
      entries: {entry-1: 127.0.0.1:7000}
      controls: {control-1: 127.0.0.1:7100}
      dataFolder: data
      sharedSecretFile: secret
      operatorTokenFile: token
      electionTimeoutMilliseconds: 1000
      """;
  private static final String[] FRAGMENTS = {
    "*a",
    "&a ",
    "{",
    "}",
    "[",
    "\n",
    "  ",
    ": ",
    "99999999999999999999",
    "-1",
    "\u0000",
    "%",
    "null",
    "~",
    "::1",
    "1e9",
    "!!java.lang.Object "
  };

  @TempDir Path folder;

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5})
  void corruptedFileIsReadOrRejectedWithProblems(long seed) throws IOException {
    Random random = new Random(seed);
    int rejected = 0;
    for (int round = 0; round < 200; round++) {
      Path file = Files.writeString(folder.resolve("control.yaml"), corrupted(random));
      try {
        assertThat(SettingsReader.readControl(file).entries()).isNotEmpty();
      } catch (DocumentException rejection) {
        assertThat(rejection.problems()).isNotEmpty();
        rejected++;
      }
    }
    assertThat(rejected).isGreaterThan(20);
  }

  private static String corrupted(Random random) {
    StringBuilder text = new StringBuilder(VALID_SETTINGS);
    int changes = 1 + random.nextInt(3);
    for (int change = 0; change < changes; change++) {
      int start = random.nextInt(text.length());
      int end = Math.min(text.length(), start + random.nextInt(12));
      text.replace(start, end, FRAGMENTS[random.nextInt(FRAGMENTS.length)]);
    }
    return text.toString();
  }
}
