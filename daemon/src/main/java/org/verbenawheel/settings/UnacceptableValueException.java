package org.verbenawheel.settings;

/** Thrown when the value of one setting has the wrong type or is out of range. */
final class UnacceptableValueException extends Exception {
  private static final long serialVersionUID = 1L;

  private final String found;
  private final String expected;

  /**
   * Creates the exception.
   *
   * @param found the value in the settings file
   * @param expected a description of the accepted values
   */
  UnacceptableValueException(String found, String expected) {
    super("found " + found + "; expected " + expected);
    this.found = found;
    this.expected = expected;
  }

  /** Returns the value in the settings file. */
  String found() {
    return found;
  }

  /** Returns a description of the accepted values. */
  String expected() {
    return expected;
  }
}
