package org.verbenawheel.routing;

/** What ended an attempt that got no whole answer, and whether the endpoint's slot is free. */
public enum AttemptFailure {
  /** No connection was made: the endpoint never saw the request. */
  NOT_CONNECTED(true),
  /** The endpoint refused the request and said that it did not run it. */
  REFUSED_BY_ENDPOINT(true),
  /** The connection ended before the whole answer had come. */
  CONNECTION_LOST(false),
  /** The answer was malformed, shorter or longer than it said, or larger than allowed. */
  ANSWER_NOT_WHOLE(true),
  /** No whole answer came within the timeout: the endpoint may still be running the request. */
  TIMED_OUT(false);

  private final boolean endpointKnownFree;

  AttemptFailure(boolean endpointKnownFree) {
    this.endpointKnownFree = endpointKnownFree;
  }

  /** Returns whether the endpoint is known to no longer run the request. */
  public boolean endpointKnownFree() {
    return endpointKnownFree;
  }
}
