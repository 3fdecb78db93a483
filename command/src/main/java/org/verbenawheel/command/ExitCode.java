package org.verbenawheel.command;

/** Says how a command ended, for scripts. */
public enum ExitCode {
  /** The command did what it says, now or when it was sent before. */
  DONE(0, "done, now or when the command was sent before"),
  /** The system refused the command; nothing was changed. */
  REFUSED(1, "refused by the system, with the reason; nothing was changed"),
  /** The command line or a file was not acceptable; nothing was sent. */
  BAD_INPUT(2, "the command line or a file was not acceptable; nothing was sent"),
  /** No control process could take the command; nothing was changed. */
  NOT_REACHED(3, "no control process could take the command; nothing was changed"),
  /** The command may have been done; send it again with the same identity to learn. */
  NOT_KNOWN(4, "not known whether it was done; run it again with the same --command-id");

  private final int number;
  private final String meaning;

  ExitCode(int number, String meaning) {
    this.number = number;
    this.meaning = meaning;
  }

  /** Returns the number that the process ends with. */
  public int number() {
    return number;
  }

  /** Returns what it means, for the help. */
  public String meaning() {
    return meaning;
  }
}
