package org.verbenawheel.questionnaire;

/**
 * A reason why the answers cannot all be satisfied.
 *
 * @param key the key of the answer to change first
 * @param reason why the answers contradict one another
 * @param fix what to change
 */
public record Contradiction(String key, String reason, String fix) {
  /** Returns the contradiction as one line of an error message. */
  @Override
  public String toString() {
    return key + ": " + reason + "; " + fix;
  }
}
