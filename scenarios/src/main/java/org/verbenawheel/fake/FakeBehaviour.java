package org.verbenawheel.fake;

/** How a fake endpoint treats requests. */
public enum FakeBehaviour {
  /** Runs each request as its query says. */
  HEALTHY,
  /** Answers each request at once with status 500 and runs nothing. */
  FAILS_FAST,
  /** Answers each request at once with status 503 and says that it did not run it. */
  REFUSES_WITHOUT_RUNNING,
  /** Runs each request, announces a longer answer than it writes, and closes the connection. */
  CUTS_ANSWERS_SHORT
}
