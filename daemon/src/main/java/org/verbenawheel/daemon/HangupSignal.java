package org.verbenawheel.daemon;

import sun.misc.Signal;

/** Takes the signal that asks a process to read its settings again. */
public final class HangupSignal {
  private HangupSignal() {}

  /**
   * Runs an action at each such signal, which otherwise would end the process.
   *
   * @param action called on a thread of the virtual machine; must not block for long
   */
  public static void handle(Runnable action) {
    Signal.handle(new Signal("HUP"), signal -> action.run());
  }
}
