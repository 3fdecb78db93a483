package org.verbenawheel.entry;

/** Thrown when a caller's request is invalid; its explanation is sent to the caller. */
final class BadRequestException extends Exception {
  private static final long serialVersionUID = 1L;

  private final String explanation;

  BadRequestException(String explanation) {
    super(explanation);
    this.explanation = explanation;
  }

  /** Returns what is wrong with the request and what to send instead. */
  String explanation() {
    return explanation;
  }
}
