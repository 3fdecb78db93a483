package org.verbenawheel.http;

import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.verbenawheel.request.RunVerdict;

/** Thrown when an HTTP request got no complete answer; says whether the server may have run it. */
public final class HttpCallException extends Exception {
  private static final long serialVersionUID = 1L;

  private final RunVerdict verdict;
  private final transient @Nullable HttpReply otherServer;

  HttpCallException(RunVerdict verdict, String message) {
    this(verdict, message, null);
  }

  private HttpCallException(RunVerdict verdict, String message, @Nullable HttpReply otherServer) {
    super(message);
    this.verdict = verdict;
    this.otherServer = otherServer;
  }

  /** Returns the failure of a request that was not sent, because another process answered. */
  static HttpCallException otherServer(String message, HttpReply answer) {
    return new HttpCallException(RunVerdict.NOT_RUN, message, answer);
  }

  /** Returns whether the server may have carried the request out, or may still do so. */
  public RunVerdict verdict() {
    return verdict;
  }

  /**
   * Returns what a server answered to the question of an {@link IntendedServer}, if it did not
   * prove to be that server; empty if the request failed for another reason.
   */
  public Optional<HttpReply> answerOfOtherServer() {
    return Optional.ofNullable(otherServer);
  }
}
