package org.verbenawheel.request;

/** Says why the system refused a request, with the HTTP status a caller sees. */
public enum RefusalReason {
  /** The request itself is wrong: sending it again unchanged will not help. */
  BAD_REQUEST(400),
  /** The idempotency key was used before with another request. */
  KEY_REUSED(422),
  /** The idempotency key is older than the retention window, so its first use is forgotten. */
  KEY_EXPIRED(422),
  /** A first request with the same key has not ended yet, or its answer was lost. */
  KEY_IN_USE(409),
  /** The configuration names no such service. */
  UNKNOWN_SERVICE(404),
  /** The body is larger than the system carries. */
  BODY_TOO_LARGE(413),
  /** The service's queue is full, or the request could not meet its deadline. */
  OVERLOADED(503),
  /** No endpoint of the service may take new work. */
  NO_ENDPOINT(503),
  /** The control replicas could not commit the request's claim. */
  NO_QUORUM(503),
  /** The entry could not confirm that its configuration is in force. */
  CONFIGURATION_STALE(503),
  /** The entry is stopping and takes no new request. */
  DRAINING(503),
  /** The deadline passed before an answer came. */
  DEADLINE_PASSED(504),
  /** Every attempt that the verdicts and the retry budget allowed failed. */
  ENDPOINT_FAILED(502);

  private final int httpStatus;

  RefusalReason(int httpStatus) {
    this.httpStatus = httpStatus;
  }

  /** Returns the HTTP status of a refusal for this reason. */
  public int httpStatus() {
    return httpStatus;
  }
}
