package org.verbenawheel.command;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.io.TempDir;

/** Base class of tests that run commands against a fake control process and capture the output. */
abstract class CommandLineTestCase {
  static final String CONFIGURATION =
      """
      deployment: derwent
      services:
        hobart-desk: {pool: hobart-desk, queueLimit: 40}
      pools:
        hobart-desk: {role: SERVING, minimumHosts: 6, maximumHosts: 9}
        members-hub: {role: SPARE, minimumHosts: 0, maximumHosts: 9}
      """;

  @TempDir Path folder;

  private final ByteArrayOutputStream output = new ByteArrayOutputStream();
  private final ByteArrayOutputStream errors = new ByteArrayOutputStream();
  final FakeControl control = startControl();
  String controls = control.address();
  Path file = Path.of("");
  String typedInput = "";

  private static FakeControl startControl() {
    try {
      return new FakeControl();
    } catch (IOException failed) {
      throw new AssertionError(failed);
    }
  }

  @BeforeEach
  void writeFiles() throws IOException {
    Files.writeString(folder.resolve("token"), FakeControl.TOKEN + "\n");
    file = Files.writeString(folder.resolve("configuration.yaml"), CONFIGURATION);
  }

  @AfterEach
  void stopControl() {
    control.close();
  }

  ExitCode run(String... arguments) {
    output.reset();
    errors.reset();
    Main main =
        new Main(
            CommandCatalog.standard(),
            new ByteArrayInputStream(typedInput.getBytes(UTF_8)),
            new PrintStream(output, true, UTF_8),
            new PrintStream(errors, true, UTF_8),
            ImmutableMap.of(
                "VERBENAWHEEL_CONTROL",
                controls,
                "VERBENAWHEEL_TOKEN_FILE",
                folder.resolve("token").toString()));
    return main.run(ImmutableList.copyOf(arguments));
  }

  String output() {
    return output.toString(UTF_8);
  }

  String errors() {
    return errors.toString(UTF_8);
  }
}
