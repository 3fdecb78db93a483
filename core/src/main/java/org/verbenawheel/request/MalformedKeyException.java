package org.verbenawheel.request;

/** Thrown when a caller's idempotency key is not one; its message tells the caller what to send. */
public final class MalformedKeyException extends Exception {
  private static final long serialVersionUID = 1L;

  MalformedKeyException(String message, Throwable cause) {
    super(message, cause);
  }
}
