package org.verbenawheel.wire;

import org.verbenawheel.identity.ProcessId;
import org.verbenawheel.peer.MessageKinds;
import org.verbenawheel.peer.PeerMessage;

/** The messages of the handshake, in the order in which they are sent. */
final class HandshakeMessages {
  /** The message kinds of the handshake. Numbers below 100 are reserved for the wire module. */
  static final MessageKinds KINDS =
      MessageKinds.builder()
          .add(1, Hello.class)
          .add(2, Challenge.class)
          .add(3, Proof.class)
          .add(4, Welcome.class)
          .add(5, Refused.class)
          .build();

  private HandshakeMessages() {}

  /** Starts the handshake: the dialing process sends its name and that of the expected peer. */
  record Hello(int protocolVersion, ProcessId from, ProcessId to, String nonce)
      implements PeerMessage {}

  /** Proves that the accepting process knows the secret and requests a proof from the other end. */
  record Challenge(int protocolVersion, String nonce, String proof) implements PeerMessage {}

  /** Proves that the dialing process knows the secret. */
  record Proof(String proof) implements PeerMessage {}

  /** Completes the handshake: the connection may carry messages now. */
  record Welcome() implements PeerMessage {}

  /** Aborts the handshake: the sender closes the connection for the given reason. */
  record Refused(String reason) implements PeerMessage {}
}
