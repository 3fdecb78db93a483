package org.verbenawheel.local;

import java.util.Locale;

/** Kind of a process of a deployment, with the main class of its daemon. */
public enum ProcessKind {
  /** An entry: routes callers' requests to endpoints. */
  ENTRY("org.verbenawheel.entry.EntryDaemon"),
  /** A control process: holds a replica of the replicated state. */
  CONTROL("org.verbenawheel.control.ControlDaemon");

  private final String mainClass;

  ProcessKind(String mainClass) {
    this.mainClass = mainClass;
  }

  /** Returns the name of the daemon's main class. */
  String mainClass() {
    return mainClass;
  }

  /** Returns the name of a process of this kind, such as {@code entry-1}. */
  String processName(int number) {
    return name().toLowerCase(Locale.ROOT) + "-" + number;
  }
}
