package org.verbenawheel.daemon;

/** Says how a daemon ended. */
public enum ExitCode {
  /** It was told to stop and stopped in order. */
  STOPPED(0),
  /** It could not start or go on. */
  FAILED(1),
  /** Its settings or its command line were wrong; nothing was started. */
  BAD_SETTINGS(2);

  private final int number;

  ExitCode(int number) {
    this.number = number;
  }

  /** Returns the number that the process ends with. */
  public int number() {
    return number;
  }
}
