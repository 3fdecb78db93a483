package org.verbenawheel.gateway;

import com.google.common.base.CharMatcher;

/** Validates the ids that callers choose for their jobs. */
public final class JobIds {
  private static final int MAXIMUM_LENGTH = 64;
  private static final CharMatcher CHARACTERS =
      CharMatcher.inRange('0', '9')
          .or(CharMatcher.inRange('a', 'z'))
          .or(CharMatcher.inRange('A', 'Z'))
          .or(CharMatcher.anyOf("-_"));

  private JobIds() {}

  /**
   * Returns whether a text is a valid job id: 1 to 64 letters, digits, {@code -} or {@code _}. It
   * has no dot, because the ids of tasks append numbers to it, separated by dots.
   *
   * @param id the text to check
   */
  public static boolean isAcceptable(String id) {
    return !id.isEmpty() && id.length() <= MAXIMUM_LENGTH && CHARACTERS.matchesAllOf(id);
  }
}
