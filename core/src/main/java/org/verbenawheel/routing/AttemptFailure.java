package org.verbenawheel.routing;

/** Why an attempt got no complete answer, and whether the endpoint's slot is then free. */
public enum AttemptFailure {
  /** No connection was established, so the endpoint did not receive the request. */
  NOT_CONNECTED(true),
  /** The endpoint refused the request and stated that it did not run it. */
  REFUSED_BY_ENDPOINT(true),
  /** The connection ended before the complete answer arrived. */
  CONNECTION_LOST(false),
  /** The answer was malformed, differed from its declared length, or was larger than allowed. */
  ANSWER_NOT_WHOLE(true),
  /** No complete answer arrived within the timeout; the endpoint may still run the request. */
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
