package org.verbenawheel.command;

/** What came of one HTTP request to one control process. */
sealed interface CallResult {

  /**
   * The process answered.
   *
   * @param status the HTTP status
   * @param body the whole body
   */
  record Answered(int status, String body) implements CallResult {}

  /**
   * No connection stood, so the process did not see the request.
   *
   * @param reason what the client said
   */
  record NotConnected(String reason) implements CallResult {}

  /**
   * The request may have arrived, but no whole answer came.
   *
   * @param reason what the client said
   */
  record NoAnswer(String reason) implements CallResult {}
}
