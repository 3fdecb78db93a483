package org.verbenawheel.settings;

/** Thrown when the value of one setting is not acceptable. */
final class UnacceptableValueException extends Exception {
  private static final long serialVersionUID = 1L;

  private final String found;
  private final String expected;

  /**
   * Makes the exception.
   *
   * @param found what stands there
   * @param expected what should stand there
   */
  UnacceptableValueException(String found, String expected) {
    super("found " + found + "; expected " + expected);
    this.found = found;
    this.expected = expected;
  }

  /** Returns what stands there. */
  String found() {
    return found;
  }

  /** Returns what should stand there. */
  String expected() {
    return expected;
  }
}
