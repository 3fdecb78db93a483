package org.verbenawheel.peer;

import org.verbenawheel.identity.ProcessId;
import org.verbenawheel.request.RunVerdict;

/**
 * Signals that a request to a peer got no reply. The verdict says whether the peer may have read
 * the request.
 */
public final class PeerUnreachableException extends Exception {
  private static final long serialVersionUID = 1L;

  private final RunVerdict verdict;

  /**
   * Creates an exception whose message names the peer, the verdict and the fault.
   *
   * @param peer the process that gave no reply
   * @param verdict whether it may have read the request
   * @param message what went wrong
   */
  public PeerUnreachableException(ProcessId peer, RunVerdict verdict, String message) {
    super("peer " + peer + " gave no reply (" + verdict + "): " + message);
    this.verdict = verdict;
  }

  /**
   * Returns whether the peer may have read the request, so that the caller knows if it may resend.
   */
  public RunVerdict verdict() {
    return verdict;
  }
}
