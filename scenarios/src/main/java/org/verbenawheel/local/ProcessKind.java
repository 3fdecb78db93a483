package org.verbenawheel.local;

import java.util.Locale;

/** The kinds of process of a deployment. */
public enum ProcessKind {
  /** An entry: serves callers and endpoints. */
  ENTRY("org.verbenawheel.entry.EntryDaemon"),
  /** A control process: holds a replica of the state. */
  CONTROL("org.verbenawheel.control.ControlDaemon");

  private final String mainClass;

  ProcessKind(String mainClass) {
    this.mainClass = mainClass;
  }

  /** Returns the class that starts such a process. */
  String mainClass() {
    return mainClass;
  }

  /** Returns the name of one process of this kind. */
  String processName(int number) {
    return name().toLowerCase(Locale.ROOT) + "-" + number;
  }
}
