package org.verbenawheel.document;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableMap;

/**
 * A document that was read within the limits of {@link DocumentReader}: its values and the line of
 * each key.
 *
 * @param source the file or request body that it was read from, for messages
 * @param root the top-level map
 * @param lines the line of each key, from 1; nested keys are joined with dots
 */
public record Document(String source, JsonNode root, ImmutableMap<String, Integer> lines) {

  /**
   * Creates a problem at a key of this document.
   *
   * @param key the key; nested keys are joined with dots
   * @param found the value or text in the document
   * @param expected a description of the acceptable values
   */
  public DocumentProblem problem(String key, String found, String expected) {
    return new DocumentProblem(source, lineOf(key), key, found, expected);
  }

  /** Returns the line of the key or, if it is absent, of its nearest parent; 0 if there is none. */
  private int lineOf(String key) {
    for (String level = key; !level.isEmpty(); level = parentOf(level)) {
      Integer line = lines.get(level);
      if (line != null) {
        return line;
      }
    }
    return 0;
  }

  private static String parentOf(String key) {
    int lastDot = key.lastIndexOf('.');
    return lastDot < 0 ? "" : key.substring(0, lastDot);
  }
}
