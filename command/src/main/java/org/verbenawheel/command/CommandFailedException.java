package org.verbenawheel.command;

/** Thrown when a command did not do what it says; tells a person what was wrong and what to try. */
public final class CommandFailedException extends Exception {
  private static final long serialVersionUID = 1L;

  private final ExitCode exitCode;
  private final String fix;

  /**
   * Makes the exception.
   *
   * @param exitCode how the command ends
   * @param error what was wrong and what was expected
   * @param fix what to try
   */
  public CommandFailedException(ExitCode exitCode, String error, String fix) {
    super(error);
    this.exitCode = exitCode;
    this.fix = fix;
  }

  /** Returns how the command ends. */
  public ExitCode exitCode() {
    return exitCode;
  }

  /** Returns what to try. */
  public String fix() {
    return fix;
  }
}
