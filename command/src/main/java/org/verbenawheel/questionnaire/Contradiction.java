package org.verbenawheel.questionnaire;

/**
 * Tells that answers cannot all be kept.
 *
 * @param key the answer to change first
 * @param reason why the answers contradict one another
 * @param fix what to change
 */
public record Contradiction(String key, String reason, String fix) {
  /** Returns the contradiction as one line for a person. */
  @Override
  public String toString() {
    return key + ": " + reason + "; " + fix;
  }
}
