package org.verbenawheel.document;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableMap;

/**
 * Holds one document that was read within bounds: its values, and the line of each key.
 *
 * @param source the file or body that held it
 * @param root the top level
 * @param lines the line of each key, from 1; keys have dots between levels
 */
public record Document(String source, JsonNode root, ImmutableMap<String, Integer> lines) {

  /**
   * Makes a problem at a key of this document.
   *
   * @param key the key, with dots between levels
   * @param found what stands there
   * @param expected what should stand there
   */
  public DocumentProblem problem(String key, String found, String expected) {
    return new DocumentProblem(source, lineOf(key), key, found, expected);
  }

  /** Returns the line of the key or, if it is absent, of the nearest level above it. */
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
