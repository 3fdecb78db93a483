package org.verbenawheel.daemon;

import com.codahale.metrics.MetricRegistry;

/** The state of a daemon that {@link StateController} serves over HTTP. */
public interface DaemonState {
  /** Returns whether new work may be sent to this process. */
  boolean ready();

  /** Returns the state of every part as a value that Jackson can serialize; bounded in size. */
  Object dump();

  /** Returns the metrics of this process. */
  MetricRegistry metrics();
}
