package org.verbenawheel.document;

/**
 * A problem in a document.
 *
 * @param source the file or request body that the document was read from
 * @param line the line of the key, from 1; 0 if the problem has no line
 * @param key the key, with nested keys joined with dots; empty for the document as a whole
 * @param found the value or text in the document, truncated to 80 characters
 * @param expected a description of the acceptable values
 */
public record DocumentProblem(String source, int line, String key, String found, String expected) {
  private static final int MAXIMUM_FOUND_LENGTH = 80;

  /** Truncates {@code found} and replaces its control characters with blanks. */
  public DocumentProblem {
    found = printable(found);
  }

  private static String printable(String text) {
    String truncated =
        text.length() <= MAXIMUM_FOUND_LENGTH
            ? text
            : text.substring(0, MAXIMUM_FOUND_LENGTH) + "...";
    return truncated.replaceAll("\\p{Cntrl}", " ");
  }

  /** Returns the problem as one line for users. */
  @Override
  public String toString() {
    StringBuilder text = new StringBuilder(source);
    if (line > 0) {
      text.append(':').append(line);
    }
    if (!key.isEmpty()) {
      text.append(": ").append(key);
    }
    return text.append(": found ").append(found).append("; expected ").append(expected).toString();
  }
}
