package org.verbenawheel.peer;

import org.verbenawheel.identity.ProcessId;
import org.verbenawheel.request.RunVerdict;

/**
 * Thrown when a peer gave no reply; its verdict says whether the peer may have read the message.
 */
public final class PeerUnreachableException extends Exception {
  private static final long serialVersionUID = 1L;

  private final RunVerdict verdict;

  /**
   * Makes the exception.
   *
   * @param peer the process that gave no reply
   * @param verdict whether it may have read the message
   * @param message what went wrong
   */
  public PeerUnreachableException(ProcessId peer, RunVerdict verdict, String message) {
    super("peer " + peer + " gave no reply (" + verdict + "): " + message);
    this.verdict = verdict;
  }

  /** Returns whether the peer may have read the message. */
  public RunVerdict verdict() {
    return verdict;
  }
}
