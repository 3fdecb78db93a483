package org.verbenawheel.fake;

/** Fault that a {@link FakeEndpoint} injects into its answers. */
public enum FakeBehaviour {
  /** No fault: runs each request as its query says. */
  HEALTHY,
  /** Answers each request at once with status 500 and runs nothing. */
  FAILS_FAST,
  /** Answers each request at once with status 503 and the verdict that it was not run. */
  REFUSES_WITHOUT_RUNNING,
  /** Runs each request, sends less than the declared content length and closes the connection. */
  CUTS_ANSWERS_SHORT
}
