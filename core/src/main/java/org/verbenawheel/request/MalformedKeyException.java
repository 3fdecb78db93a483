package org.verbenawheel.request;

/** Thrown when a caller's idempotency key is not a UUID of version 7. */
public final class MalformedKeyException extends Exception {
  private static final long serialVersionUID = 1L;

  private final String explanation;

  MalformedKeyException(String explanation, Throwable cause) {
    super(explanation, cause);
    this.explanation = explanation;
  }

  /** Returns what is wrong with the key and what the caller should send instead. */
  public String explanation() {
    return explanation;
  }
}
