package org.verbenawheel.command;

import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableList;
import com.google.common.net.HostAndPort;
import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;
import org.apache.commons.cli.CommandLine;
import org.jspecify.annotations.Nullable;
import org.verbenawheel.identity.CommandId;

/**
 * Provides a command with its parsed arguments and options, its input and output, and a client
 * configured by the options.
 */
final class CommandContext implements AutoCloseable {
  private static final String CONTROL_VARIABLE = "VERBENAWHEEL_CONTROL";
  private static final String TOKEN_FILE_VARIABLE = "VERBENAWHEEL_TOKEN_FILE";
  private static final long DEFAULT_TIMEOUT_SECONDS = 10;
  private static final long MAXIMUM_TIMEOUT_SECONDS = 3_600;

  private final CommandLine line;
  private final Output output;
  private final InputStream input;
  private final Map<String, String> environment;
  private @Nullable OperatorClient client;

  CommandContext(
      CommandLine line, Output output, InputStream input, Map<String, String> environment) {
    this.line = line;
    this.output = output;
    this.input = input;
    this.environment = environment;
  }

  /** Returns the output for the result and notes. */
  Output output() {
    return output;
  }

  /** Returns the standard input, from which the questionnaire reads answers. */
  InputStream input() {
    return input;
  }

  /**
   * Returns a positional argument. {@link Main} has already checked their number.
   *
   * @param position from 0
   */
  String argument(int position) {
    return line.getArgList().get(position);
  }

  /** Returns the value of an option, or empty if it is absent. */
  Optional<String> option(String name) {
    return Optional.ofNullable(line.getOptionValue(name));
  }

  /** Returns whether a flag, an option without a value, is present. */
  boolean hasOption(String name) {
    return line.hasOption(name);
  }

  /**
   * Returns the value of a required option.
   *
   * @throws CommandFailedException if it is absent
   */
  String requiredOption(String name) throws CommandFailedException {
    return option(name).orElseThrow(() -> badInput("--" + name + " is missing", "give --" + name));
  }

  /**
   * Returns the value of an option as a whole number, or empty if it is absent.
   *
   * @throws CommandFailedException if it is not a whole number from {@code lowest} to {@code
   *     highest}
   */
  Optional<Long> numberOption(String name, long lowest, long highest)
      throws CommandFailedException {
    Optional<String> text = option(name);
    if (text.isEmpty()) {
      return Optional.empty();
    }
    try {
      long number = Long.parseLong(text.get());
      if (number >= lowest && number <= highest) {
        return Optional.of(number);
      }
    } catch (NumberFormatException unparsable) {
      // Rejected below, like a number out of range.
    }
    throw badInput(
        "--" + name + ": found " + text.get(),
        "give a whole number from " + lowest + " to " + highest);
  }

  /**
   * Returns the value of a required option as a whole number.
   *
   * @throws CommandFailedException if it is absent or not a whole number from {@code lowest} to
   *     {@code highest}
   */
  long requiredNumberOption(String name, long lowest, long highest) throws CommandFailedException {
    return numberOption(name, lowest, highest)
        .orElseThrow(() -> badInput("--" + name + " is missing", "give --" + name));
  }

  /**
   * Returns the operator's name for the change history: the option, or else the login name of the
   * user.
   */
  String operator() {
    return option(GlobalOptions.OPERATOR).orElse(System.getProperty("user.name", "unknown"));
  }

  /**
   * Returns the identity of the command from the option. Without the option it generates an
   * identity and prints it, as the operator needs it to send the command again.
   *
   * @throws CommandFailedException if the given identity is invalid
   */
  CommandId commandId() throws CommandFailedException {
    Optional<String> given = option(GlobalOptions.COMMAND_ID);
    if (given.isEmpty()) {
      CommandId generated = new CommandId(UUID.randomUUID().toString());
      output.note("command identity: " + generated + " (--command-id to send it again)");
      return generated;
    }
    try {
      return new CommandId(given.get());
    } catch (IllegalArgumentException invalidName) {
      throw badInput("--command-id: " + invalidName.getMessage(), "give another identity");
    }
  }

  /**
   * Returns the client of the control processes, created at the first call.
   *
   * @throws CommandFailedException if no control process is named, or an address, the timeout or
   *     the token file is invalid
   */
  OperatorClient client() throws CommandFailedException {
    if (client == null) {
      client = new OperatorClient(controlAddresses(), readToken(), timeout());
    }
    return client;
  }

  /**
   * Opens a client that calls only the given process. Later calls of {@link #client()} return it
   * too.
   *
   * @param process its HTTP address
   * @throws CommandFailedException if the timeout or the token file is invalid
   */
  OperatorClient openClient(HostAndPort process) throws CommandFailedException {
    client = new OperatorClient(ImmutableList.of(process), readToken(), timeout());
    return client;
  }

  private Duration timeout() throws CommandFailedException {
    return Duration.ofSeconds(
        numberOption(GlobalOptions.TIMEOUT_SECONDS, 1, MAXIMUM_TIMEOUT_SECONDS)
            .orElse(DEFAULT_TIMEOUT_SECONDS));
  }

  private ImmutableList<HostAndPort> controlAddresses() throws CommandFailedException {
    String text =
        option(GlobalOptions.CONTROL)
            .or(() -> Optional.ofNullable(environment.get(CONTROL_VARIABLE)))
            .orElseThrow(
                () ->
                    badInput(
                        "no address of a control process was given",
                        "give --control ip:port,... or set " + CONTROL_VARIABLE));
    ImmutableList.Builder<HostAndPort> addresses = ImmutableList.builder();
    for (String address : Splitter.on(',').trimResults().omitEmptyStrings().split(text)) {
      addresses.add(parseAddress(address));
    }
    return addresses.build();
  }

  /**
   * Parses the address of a process.
   *
   * @param text a host and a port, such as {@code 10.0.0.1:9080}
   * @throws CommandFailedException if it is not an address with a port
   */
  static HostAndPort parseAddress(String text) throws CommandFailedException {
    try {
      HostAndPort address = HostAndPort.fromString(text);
      if (address.hasPort() && !address.getHost().isEmpty()) {
        return address;
      }
    } catch (IllegalArgumentException unparsable) {
      // Rejected below, like an address without a port.
    }
    throw badInput("not an address: " + text, "give an address such as 10.0.0.1:9080");
  }

  /** Reads the operator token from the named file; empty without a file, as tokens are optional. */
  private Optional<String> readToken() throws CommandFailedException {
    Optional<String> file =
        option(GlobalOptions.TOKEN_FILE)
            .or(() -> Optional.ofNullable(environment.get(TOKEN_FILE_VARIABLE)));
    if (file.isEmpty()) {
      return Optional.empty();
    }
    try {
      return Optional.of(Files.readString(Path.of(file.get())).strip());
    } catch (IOException unreadable) {
      throw badInput(
          "cannot read the operator token: " + unreadable,
          "give --token-file with a readable file");
    }
  }

  private static CommandFailedException badInput(String error, String fix) {
    return new CommandFailedException(ExitCode.BAD_INPUT, error, fix);
  }

  @Override
  public void close() {
    if (client != null) {
      client.close();
    }
  }
}
