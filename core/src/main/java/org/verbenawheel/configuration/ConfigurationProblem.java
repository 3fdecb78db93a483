package org.verbenawheel.configuration;

/**
 * Tells one thing that is wrong in a configuration.
 *
 * @param key where it stands, with dots between levels
 * @param found what stands there
 * @param expected what should stand there
 */
public record ConfigurationProblem(String key, String found, String expected) {
  /** Returns the problem as one line for a person. */
  @Override
  public String toString() {
    return key + ": found " + found + "; expected " + expected;
  }
}
