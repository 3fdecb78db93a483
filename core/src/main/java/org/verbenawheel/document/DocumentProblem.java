package org.verbenawheel.document;

/**
 * Tells one thing that is wrong in a document.
 *
 * @param source the file or body that holds the document
 * @param line the line of the key, from 1; 0 if the problem has no line
 * @param key the key, with dots between levels; empty for the document as a whole
 * @param found what stands there, shortened
 * @param expected what should stand there
 */
public record DocumentProblem(String source, int line, String key, String found, String expected) {
  private static final int MAXIMUM_FOUND_LENGTH = 80;

  /** Shortens what was found and removes its control characters. */
  public DocumentProblem {
    found = printable(found);
  }

  private static String printable(String text) {
    String start =
        text.length() <= MAXIMUM_FOUND_LENGTH
            ? text
            : text.substring(0, MAXIMUM_FOUND_LENGTH) + "...";
    return start.replaceAll("\\p{Cntrl}", " ");
  }

  /** Returns the problem as one line for a person. */
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
