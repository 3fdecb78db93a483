package org.verbenawheel.replication;

/** Says what an entry of the log holds. */
public enum EntryType {
  /** Nothing: a new leader's first entry, which commits the entries of earlier terms. */
  TERM_START(1),
  /** A command for the parts of the state. */
  COMMAND(2),
  /** The members of the cluster from this entry on. */
  MEMBERS(3);

  private final int number;

  EntryType(int number) {
    this.number = number;
  }

  /** Returns the number that stands for this type in files. */
  int number() {
    return number;
  }

  /**
   * Returns the type for a number in a file.
   *
   * @throws IllegalArgumentException if no type has that number
   */
  static EntryType ofNumber(int number) {
    for (EntryType type : values()) {
      if (type.number == number) {
        return type;
      }
    }
    throw new IllegalArgumentException("entry type not known: " + number);
  }
}
