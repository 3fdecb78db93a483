package org.verbenawheel.identity;

/**
 * Validates the characters and length of names so that they are safe in logs, headers and paths.
 */
public final class Names {
  /** The maximum length of a name, in characters. */
  public static final int MAXIMUM_NAME_LENGTH = 128;

  private Names() {}

  /**
   * Returns the name if it is valid: 1 to {@value #MAXIMUM_NAME_LENGTH} ASCII letters, digits and
   * the characters {@code . _ : -}.
   *
   * @param kind the kind of name, for the error message
   * @param name the name to validate
   * @return the same name
   * @throws IllegalArgumentException if the name is not valid
   */
  public static String requireName(String kind, String name) {
    if (name.isEmpty() || name.length() > MAXIMUM_NAME_LENGTH) {
      throw new IllegalArgumentException(
          kind + " must have 1 to " + MAXIMUM_NAME_LENGTH + " characters, not " + name.length());
    }
    if (!name.chars().allMatch(Names::isNameCharacter)) {
      throw new IllegalArgumentException(
          kind + " may contain only letters, digits and . _ : - but was: " + printable(name));
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
