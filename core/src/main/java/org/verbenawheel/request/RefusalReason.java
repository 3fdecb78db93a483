package org.verbenawheel.request;

/** The reasons for which the system refuses a request, each with its HTTP status. */
public enum RefusalReason {
  /** The request itself is invalid: it will be refused again if resent unchanged. */
  BAD_REQUEST(400),
  /** The idempotency key was used before with a different request. */
  KEY_REUSED(422),
  /** The idempotency key is older than the retention window, so records of its use are gone. */
  KEY_EXPIRED(422),
  /** A first request with the same key has not ended yet, or its answer was lost. */
  KEY_IN_USE(409),
  /** The configuration contains no such service. */
  UNKNOWN_SERVICE(404),
  /** The body is larger than the maximum that the system forwards. */
  BODY_TOO_LARGE(413),
  /** The service's queue is full, or the request could not be answered before its deadline. */
  OVERLOADED(503),
  /** No endpoint of the service is available for new work. */
  NO_ENDPOINT(503),
  /** The control replicas could not commit the request's claim. */
  NO_QUORUM(503),
  /** The entry could not confirm that its configuration is in force. */
  CONFIGURATION_STALE(503),
  /** The entry is stopping and accepts no new requests. */
  DRAINING(503),
  /** The deadline passed before an answer came. */
  DEADLINE_PASSED(504),
  /** All attempts failed, as many as the run verdicts and the retry budget allowed. */
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
