package org.verbenawheel.command;

/** The exit codes of the command line, by which scripts distinguish how a command ended. */
public enum ExitCode {
  /** The command was applied, now or at an earlier send. */
  DONE(0, "done, now or when the command was sent earlier"),
  /** The system refused the command; nothing was changed. */
  REFUSED(1, "refused by the system, with the reason; nothing was changed"),
  /** The command line, a file or the operator token was invalid; nothing was changed. */
  BAD_INPUT(2, "the command line, a file or the operator token was invalid; nothing was changed"),
  /** No control process accepted the command; nothing was changed. */
  NOT_REACHED(3, "no control process accepted the command; nothing was changed"),
  /**
   * The command may have been applied; sending it again with the same identity shows the result.
   */
  NOT_KNOWN(
      4, "it is unknown whether the command was applied; run it again with the same --command-id");

  private final int number;
  private final String meaning;

  ExitCode(int number, String meaning) {
    this.number = number;
    this.meaning = meaning;
  }

  /** Returns the exit status of the process. */
  public int number() {
    return number;
  }

  /** Returns the explanation for the help. */
  public String meaning() {
    return meaning;
  }
}
