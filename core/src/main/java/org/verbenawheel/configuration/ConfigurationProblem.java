package org.verbenawheel.configuration;

/**
 * A problem of one setting in a configuration.
 *
 * @param key the path of the setting, with dots between levels
 * @param found the value found, or a description of it
 * @param expected a description of the values that are valid
 */
public record ConfigurationProblem(String key, String found, String expected) {
  /** Returns the problem as one line of text for the operator. */
  @Override
  public String toString() {
    return key + ": found " + found + "; expected " + expected;
  }
}
