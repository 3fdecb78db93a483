package org.verbenawheel.command;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.PrintStream;
import org.verbenawheel.codec.MessageCodec;

/**
 * Prints a command's result on standard output, as text or as JSON, and everything else on standard
 * error.
 */
final class Output {
  /** The values of {@code --output}. */
  enum Format {
    /** Tables and sentences. */
    TEXT,
    /** One JSON value. */
    JSON
  }

  private static final ObjectMapper MAPPER = MessageCodec.jsonMapper();

  private final Format format;
  private final PrintStream standardOutput;
  private final PrintStream standardError;

  Output(Format format, PrintStream standardOutput, PrintStream standardError) {
    this.format = format;
    this.standardOutput = standardOutput;
    this.standardError = standardError;
  }

  /**
   * Prints the result in the selected format.
   *
   * @param text printed with {@code toString()} in the text format
   * @param value serialized in the JSON format
   */
  void result(Object text, Object value) {
    String printed = format == Format.TEXT ? text.toString() : json(value);
    standardOutput.println(printed.stripTrailing());
  }

  /**
   * Prints a note on standard error; it is not part of the result.
   *
   * @param text one line
   */
  void note(String text) {
    standardError.println(text);
  }

  /** Returns the stream for prompts: standard error, which keeps them out of the result. */
  PrintStream promptStream() {
    return standardError;
  }

  private static String json(Object value) {
    try {
      return MAPPER.writerWithDefaultPrettyPrinter().writeValueAsString(value);
    } catch (JsonProcessingException unwritable) {
      throw new IllegalArgumentException("cannot write " + value.getClass(), unwritable);
    }
  }
}
