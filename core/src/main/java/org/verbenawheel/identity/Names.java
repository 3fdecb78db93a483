package org.verbenawheel.identity;

/** Checks the characters and length of names, so that they are safe in logs, headers and paths. */
public final class Names {
  /** The longest name accepted, in characters. */
  public static final int MAXIMUM_NAME_LENGTH = 128;

  private Names() {}

  /**
   * Returns the name if it is acceptable: 1 to {@value #MAXIMUM_NAME_LENGTH} characters out of
   * letters, digits, {@code . _ : -}.
   *
   * @param kind what the name names, for the error message
   * @param name the name to check
   * @return the same name
   * @throws IllegalArgumentException if the name is not acceptable
   */
  public static String requireName(String kind, String name) {
    if (name.isEmpty() || name.length() > MAXIMUM_NAME_LENGTH) {
      throw new IllegalArgumentException(
          kind + " must have 1 to " + MAXIMUM_NAME_LENGTH + " characters, not " + name.length());
    }
    if (!name.chars().allMatch(Names::isNameCharacter)) {
      throw new IllegalArgumentException(
          kind + " may hold only letters, digits and . _ : - but was: " + printable(name));
    }
    return name;
  }

  private static boolean isNameCharacter(int character) {
    return (character >= 'a' && character <= 'z')
        || (character >= 'A' && character <= 'Z')
        || (character >= '0' && character <= '9')
        || character == '.'
        || character == '_'
        || character == ':'
        || character == '-';
  }

  private static String printable(String name) {
    return name.replaceAll("[^\\x20-\\x7e]", "?");
  }
}
