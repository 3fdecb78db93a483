package org.verbenawheel.http;

import org.verbenawheel.request.RunVerdict;

/** Thrown when an HTTP request got no whole answer; its verdict says whether it may have run. */
public final class HttpCallException extends Exception {
  private static final long serialVersionUID = 1L;

  private final RunVerdict verdict;

  HttpCallException(RunVerdict verdict, String message) {
    super(message);
    this.verdict = verdict;
  }

  /** Returns whether the server may have carried the request out, or may yet. */
  public RunVerdict verdict() {
    return verdict;
  }
}
