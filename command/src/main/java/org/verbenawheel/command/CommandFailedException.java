package org.verbenawheel.command;

/**
 * Thrown when a command failed, was refused or has an unknown outcome. {@link Main} prints the
 * message after {@code error:} and the fix after {@code try:}.
 */
public final class CommandFailedException extends Exception {
  private static final long serialVersionUID = 1L;

  private final ExitCode exitCode;
  private final String fix;

  /**
   * Creates the exception from the texts to print and the exit code.
   *
   * @param exitCode the exit code of the process
   * @param error the cause, with the value found and the value expected
   * @param fix what the operator can do; empty if there is nothing to suggest
   */
  public CommandFailedException(ExitCode exitCode, String error, String fix) {
    super(error);
    this.exitCode = exitCode;
    this.fix = fix;
  }

  /** Returns the exit code of the process. */
  public ExitCode exitCode() {
    return exitCode;
  }

  /** Returns what the operator can do, or an empty text. */
  public String fix() {
    return fix;
  }
}
