package org.verbenawheel.daemon;

import sun.misc.Signal;

/** Handles SIGHUP, the signal that asks a process to reload its settings. */
public final class HangupSignal {
  private HangupSignal() {}

  /**
   * Runs an action at each SIGHUP. Without a handler the signal ends the process.
   *
   * @param action called on a signal thread of the virtual machine; must not block for long
   */
  public static void handle(Runnable action) {
    Signal.handle(new Signal("HUP"), signal -> action.run());
  }
}
