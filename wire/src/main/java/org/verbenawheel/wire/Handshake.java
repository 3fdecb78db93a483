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
 * Decides the opening of one connection: both ends prove that they know the shared secret for a
 * nonce of the other end, so that neither a recorded nor a reflected proof is of use.
 */
abstract class Handshake {
  /** The version of frames and handshake that this build speaks. */
  static final int PROTOCOL_VERSION = 1;

  private static final String DIALER = "dialer";
  private static final String ACCEPTOR = "acceptor";

  /**
   * What follows from a message.
   *
   * @param reply what to send
   * @param peer the other end, once it has proved itself
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

  /** Returns the handshake of the end that took the connection. */
  static Handshake accepting(
      SharedSecret secret, String nonce, ProcessId self, PeerDirectory knownPeers) {
    return new Accepting(secret, nonce, self, knownPeers);
  }

  /** Returns what this end sends unasked. */
  abstract Optional<PeerMessage> opening();

  /**
   * Takes the next message of the other end.
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
              + ": run builds that speak the same version");
    }
  }

  static void requireProof(String expected, String actual) throws HandshakeRefusedException {
    if (!MessageDigest.isEqual(expected.getBytes(UTF_8), actual.getBytes(UTF_8))) {
      throw new HandshakeRefusedException(
          "wrong shared secret: give both processes the same secret in their settings");
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
    private boolean proved;

    Dialing(SharedSecret secret, String nonce, ProcessId self, ProcessId peer) {
      super(secret, nonce);
      this.hello = new Hello(PROTOCOL_VERSION, self, peer, nonce);
      this.peer = peer;
    }

    @Override
    Optional<PeerMessage> opening() {
      return Optional.of(hello);
    }

    @Override
    Step receive(PeerMessage message) throws HandshakeRefusedException {
      if (message instanceof Challenge challenge && !proved) {
        requireVersion(challenge.protocolVersion());
        requireProof(proofOf(ACCEPTOR, hello, challenge.nonce()), challenge.proof());
        proved = true;
        Proof proof = new Proof(proofOf(DIALER, hello, challenge.nonce()));
        return new Step(Optional.of(proof), Optional.empty());
      }
      if (message instanceof Welcome && proved) {
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
    Optional<PeerMessage> opening() {
      return Optional.empty();
    }

    @Override
    Step receive(PeerMessage message) throws HandshakeRefusedException {
      if (message instanceof Hello opened && hello.isEmpty()) {
        return challenge(opened);
      }
      if (message instanceof Proof proof && hello.isPresent()) {
        requireProof(proofOf(DIALER, hello.get(), nonce), proof.proof());
        return new Step(Optional.of(new Welcome()), Optional.of(hello.get().from()));
      }
      throw unexpected(message);
    }

    private Step challenge(Hello opened) throws HandshakeRefusedException {
      requireVersion(opened.protocolVersion());
      if (!opened.to().equals(self)) {
        throw new HandshakeRefusedException(
            "meant for "
                + opened.to()
                + " but this is "
                + self
                + ": correct the address of "
                + opened.to()
                + " in the settings of "
                + opened.from());
      }
      if (knownPeers.addressOf(opened.from()).isEmpty()) {
        throw new HandshakeRefusedException(
            "unknown process "
                + opened.from()
                + ": add it to the peers in the settings of "
                + self);
      }
      hello = Optional.of(opened);
      String proof = proofOf(ACCEPTOR, opened, nonce);
      return new Step(Optional.of(new Challenge(PROTOCOL_VERSION, nonce, proof)), Optional.empty());
    }
  }
}
