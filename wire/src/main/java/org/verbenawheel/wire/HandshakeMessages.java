package org.verbenawheel.wire;

import org.verbenawheel.identity.ProcessId;
import org.verbenawheel.peer.MessageKinds;
import org.verbenawheel.peer.PeerMessage;

/** The messages that open a connection, in the order in which they are sent. */
final class HandshakeMessages {
  /** The kinds of the handshake; numbers below 100 belong to the wire module. */
  static final MessageKinds KINDS =
      MessageKinds.builder()
          .add(1, Hello.class)
          .add(2, Challenge.class)
          .add(3, Proof.class)
          .add(4, Welcome.class)
          .add(5, Refused.class)
          .build();

  private HandshakeMessages() {}

  /** Opens the handshake: the dialing process names itself and whom it means to reach. */
  record Hello(int protocolVersion, ProcessId from, ProcessId to, String nonce)
      implements PeerMessage {}

  /** Proves that the accepting process knows the secret and asks the same of the other. */
  record Challenge(int protocolVersion, String nonce, String proof) implements PeerMessage {}

  /** Proves that the dialing process knows the secret. */
  record Proof(String proof) implements PeerMessage {}

  /** Ends the handshake: the connection carries messages now. */
  record Welcome() implements PeerMessage {}

  /** Ends the handshake: the connection is closed for the reason given. */
  record Refused(String reason) implements PeerMessage {}
}
