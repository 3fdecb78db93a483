package org.verbenawheel.wire;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.security.MessageDigest;
import java.util.Optional;
import org.verbenawheel.identity.ProcessId;
import org.verbenawheel.peer.PeerMessage;
import org.verbenawheel.wire.HandshakeMessages.Challenge;
import org.verbenawheel.wire.HandshakeMessages.Hello;
import org.verbenawheel.wire.HandshakeMessages.Proof;
import org.verbenawheel.wire.HandshakeMessages.Refused;
import org.verbenawheel.wire.HandshakeMessages.Welcome;

/**
 * The handshake of one connection, without I/O. Each end proves that it knows the shared secret:
 * the proof covers its role, the names of both processes and the nonces of both ends, so that
 * neither a replayed nor a reflected proof is accepted.
 */
abstract class Handshake {
  /** The version of the frame format and handshake that this build implements. */
  static final int PROTOCOL_VERSION = 1;

  private static final String DIALER = "dialer";
  private static final String ACCEPTOR = "acceptor";

  /**
   * The result of receiving a handshake message.
   *
   * @param reply the message to send next, if any
   * @param peer the process at the other end, present once the handshake is complete
   */
  record Step(Optional<PeerMessage> reply, Optional<ProcessId> peer) {}

  private final SharedSecret secret;
  final String nonce;

  private Handshake(SharedSecret secret, String nonce) {
    this.secret = secret;
    this.nonce = nonce;
  }

  /** Returns the handshake of the end that opened the connection. */
  static Handshake dialing(SharedSecret secret, String nonce, ProcessId self, ProcessId peer) {
    return new Dialing(secret, nonce, self, peer);
  }

  /** Returns the handshake of the end that accepted the connection. */
  static Handshake accepting(
      SharedSecret secret, String nonce, ProcessId self, PeerDirectory knownPeers) {
    return new Accepting(secret, nonce, self, knownPeers);
  }

  /** Returns the message that this end sends first; empty for the accepting end. */
  abstract Optional<PeerMessage> firstMessage();

  /**
   * Handles the next message from the other end.
   *
   * @throws HandshakeRefusedException if the connection must be closed
   */
  abstract Step receive(PeerMessage message) throws HandshakeRefusedException;

  final String proofOf(String role, Hello hello, String acceptorNonce) {
    return secret.prove(
        role, hello.from().value(), hello.to().value(), hello.nonce(), acceptorNonce);
  }

  static void requireVersion(int version) throws HandshakeRefusedException {
    if (version != PROTOCOL_VERSION) {
      throw new HandshakeRefusedException(
          "protocol version "
              + version
              + " instead of "
              + PROTOCOL_VERSION
              + ": run builds with the same protocol version");
    }
  }

  static void requireProof(String expected, String actual) throws HandshakeRefusedException {
    if (!MessageDigest.isEqual(expected.getBytes(UTF_8), actual.getBytes(UTF_8))) {
      throw new HandshakeRefusedException(
          "wrong shared secret: set the same secret in the settings of both processes");
    }
  }

  static HandshakeRefusedException unexpected(PeerMessage message) {
    if (message instanceof Refused refused) {
      return new HandshakeRefusedException("refused by the other end: " + refused.reason());
    }
    return new HandshakeRefusedException(
        "unexpected handshake message " + message.getClass().getSimpleName());
  }

  private static final class Dialing extends Handshake {
    private final Hello hello;
    private final ProcessId peer;
    private boolean acceptorVerified;

    Dialing(SharedSecret secret, String nonce, ProcessId self, ProcessId peer) {
      super(secret, nonce);
      this.hello = new Hello(PROTOCOL_VERSION, self, peer, nonce);
      this.peer = peer;
    }

    @Override
    Optional<PeerMessage> firstMessage() {
      return Optional.of(hello);
    }

    @Override
    Step receive(PeerMessage message) throws HandshakeRefusedException {
      if (message instanceof Challenge challenge && !acceptorVerified) {
        requireVersion(challenge.protocolVersion());
        requireProof(proofOf(ACCEPTOR, hello, challenge.nonce()), challenge.proof());
        acceptorVerified = true;
        Proof proof = new Proof(proofOf(DIALER, hello, challenge.nonce()));
        return new Step(Optional.of(proof), Optional.empty());
      }
      if (message instanceof Welcome && acceptorVerified) {
        return new Step(Optional.empty(), Optional.of(peer));
      }
      throw unexpected(message);
    }
  }

  private static final class Accepting extends Handshake {
    private final ProcessId self;
    private final PeerDirectory knownPeers;
    private Optional<Hello> hello = Optional.empty();

    Accepting(SharedSecret secret, String nonce, ProcessId self, PeerDirectory knownPeers) {
      super(secret, nonce);
      this.self = self;
      this.knownPeers = knownPeers;
    }

    @Override
    Optional<PeerMessage> firstMessage() {
      return Optional.empty();
    }

    @Override
    Step receive(PeerMessage message) throws HandshakeRefusedException {
      if (message instanceof Hello received && hello.isEmpty()) {
        return challenge(received);
      }
      if (message instanceof Proof proof && hello.isPresent()) {
        requireProof(proofOf(DIALER, hello.get(), nonce), proof.proof());
        return new Step(Optional.of(new Welcome()), Optional.of(hello.get().from()));
      }
      throw unexpected(message);
    }

    private Step challenge(Hello received) throws HandshakeRefusedException {
      requireVersion(received.protocolVersion());
      if (!received.to().equals(self)) {
        throw new HandshakeRefusedException(
            "connection is meant for "
                + received.to()
                + " but this is "
                + self
                + ": correct the address of "
                + received.to()
                + " in the settings of "
                + received.from());
      }
      if (knownPeers.addressOf(received.from()).isEmpty()) {
        throw new HandshakeRefusedException(
            "unknown process "
                + received.from()
                + ": add it to the peers in the settings of "
                + self);
      }
      hello = Optional.of(received);
      String proof = proofOf(ACCEPTOR, received, nonce);
      return new Step(Optional.of(new Challenge(PROTOCOL_VERSION, nonce, proof)), Optional.empty());
    }
  }
}
