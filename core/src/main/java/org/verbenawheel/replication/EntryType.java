package org.verbenawheel.replication;

/** The kind of payload of a log entry. */
public enum EntryType {
  /** No payload: a new leader's first entry, whose commit commits the entries of earlier terms. */
  TERM_START(1),
  /** A command for the parts of the state. */
  COMMAND(2),
  /** The members of the cluster from this entry on. */
  MEMBERS(3);

  private final int number;

  EntryType(int number) {
    this.number = number;
  }

  /** Returns the number of this type in files and messages. */
  int number() {
    return number;
  }

  /**
   * Returns the type with a number from a file or message.
   *
   * @throws IllegalArgumentException if no type has that number
   */
  static EntryType ofNumber(int number) {
    for (EntryType type : values()) {
      if (type.number == number) {
        return type;
      }
    }
    throw new IllegalArgumentException("unknown entry type number: " + number);
  }
}
