package org.verbenawheel.http;

import org.verbenawheel.request.RunVerdict;

/** Thrown when an HTTP request got no complete answer; says whether the server may have run it. */
public final class HttpCallException extends Exception {
  private static final long serialVersionUID = 1L;

  private final RunVerdict verdict;

  HttpCallException(RunVerdict verdict, String message) {
    super(message);
    this.verdict = verdict;
  }

  /** Returns whether the server may have carried the request out, or may still do so. */
  public RunVerdict verdict() {
    return verdict;
  }
}
