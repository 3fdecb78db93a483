package org.verbenawheel.command;

/** The result of one HTTP request to one control process. */
sealed interface CallResult {

  /**
   * The process sent a complete response.
   *
   * @param status the HTTP status
   * @param body the complete body
   */
  record Answered(int status, String body) implements CallResult {}

  /**
   * The connection could not be opened, so the process did not receive the request.
   *
   * @param reason the message of the root cause of the HTTP client's exception
   */
  record NotConnected(String reason) implements CallResult {}

  /**
   * The request may have arrived, but no complete response was received.
   *
   * @param reason the message of the root cause of the HTTP client's exception
   */
  record NoAnswer(String reason) implements CallResult {}
}
