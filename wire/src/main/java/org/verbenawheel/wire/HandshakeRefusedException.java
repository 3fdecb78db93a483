package org.verbenawheel.wire;

/** Thrown when the other end of a connection is not a peer that this process talks to. */
final class HandshakeRefusedException extends Exception {
  private static final long serialVersionUID = 1L;

  HandshakeRefusedException(String reason) {
    super(reason);
  }
}
