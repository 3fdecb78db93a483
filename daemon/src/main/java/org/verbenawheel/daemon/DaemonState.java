package org.verbenawheel.daemon;

import com.codahale.metrics.MetricRegistry;

/** What every daemon shows of itself over HTTP. */
public interface DaemonState {
  /** Returns whether new work may be sent to this process. */
  boolean ready();

  /** Returns the state of every part in a form that Jackson writes; bounded in size. */
  Object dump();

  /** Returns the metrics of this process. */
  MetricRegistry metrics();
}
