package org.verbenawheel.event;

/**
 * Builds one log line of key=value pairs: first the event, then the pairs in the order added.
 *
 * <p>Values with spaces, quotes or control characters are quoted and escaped, so that the line can
 * be parsed and no value can forge a second line. Do not pass request bodies or secrets.
 */
public final class EventLine {
  private final StringBuilder line = new StringBuilder();

  private EventLine(Event event) {
    line.append("event=").append(event.logName());
  }

  /**
   * Returns a line with only the event.
   *
   * @param event what happened
   */
  public static EventLine of(Event event) {
    return new EventLine(event);
  }

  /**
   * Appends one pair and returns this line.
   *
   * @param key a name in lower case with underscores
   * @param value logged as its {@code toString()}
   */
  public EventLine with(String key, Object value) {
    line.append(' ').append(key).append('=');
    appendValue(value.toString());
    return this;
  }

  private void appendValue(String value) {
    if (isPlain(value)) {
      line.append(value);
      return;
    }
    line.append('"');
    value.chars().forEach(this::appendEscaped);
    line.append('"');
  }

  /** A loop instead of a stream, because a busy leader writes hundreds of lines per second. */
  private static boolean isPlain(String value) {
    for (int index = 0; index < value.length(); index++) {
      if (!isPlain(value.charAt(index))) {
        return false;
      }
    }
    return !value.isEmpty();
  }

  private static boolean isPlain(char character) {
    return character > ' ' && character < 0x7f && character != '"' && character != '\\';
  }

  private void appendEscaped(int character) {
    switch (character) {
      case '"', '\\' -> line.append('\\').append((char) character);
      case '\n' -> line.append("\\n");
      default -> {
        if (Character.isISOControl(character)) {
          line.append(String.format("\\u%04x", character));
        } else {
          line.append((char) character);
        }
      }
    }
  }

  /** Returns the complete line, without a line break. */
  @Override
  public String toString() {
    return line.toString();
  }
}
