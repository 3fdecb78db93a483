package org.verbenawheel.wire;

/** Thrown when a handshake fails; the connection must be closed. */
final class HandshakeRefusedException extends Exception {
  private static final long serialVersionUID = 1L;

  HandshakeRefusedException(String reason) {
    super(reason);
  }
}
