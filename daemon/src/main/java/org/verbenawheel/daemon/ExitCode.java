package org.verbenawheel.daemon;

/** The exit codes of the daemons. */
public enum ExitCode {
  /** A signal stopped the daemon and it shut down in order, or it only printed its help. */
  STOPPED(0),
  /** A part could not start, or failed for good. */
  FAILED(1),
  /** The settings or the command line were invalid; nothing was started. */
  BAD_SETTINGS(2);

  private final int number;

  ExitCode(int number) {
    this.number = number;
  }

  /** Returns the exit status of the process. */
  public int number() {
    return number;
  }
}
