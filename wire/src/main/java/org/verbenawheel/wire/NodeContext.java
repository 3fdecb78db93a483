package org.verbenawheel.wire;

import java.security.SecureRandom;
import java.time.InstantSource;
import java.util.HexFormat;
import org.verbenawheel.identity.ProcessId;

/**
 * The settings and services that all connections of one running {@link PeerNode} share.
 *
 * @param self the name of this process
 * @param peers the processes that may connect
 * @param secret the secret that all processes of the deployment share
 * @param clock provides instants that never go back
 * @param timings heartbeat, timeouts and backoff of connections
 * @param maximumFrameBytes the maximum length of a frame that is sent or accepted
 * @param maximumQueueBytes the maximum length of the outgoing queue of one connection
 * @param loop runs all connections on its thread
 * @param counters counts bytes, frames, messages and connections
 */
record NodeContext(
    ProcessId self,
    PeerDirectory peers,
    SharedSecret secret,
    InstantSource clock,
    PeerTimings timings,
    int maximumFrameBytes,
    long maximumQueueBytes,
    EventLoop loop,
    PeerCounters counters) {
  private static final SecureRandom NONCES = new SecureRandom();
  private static final int NONCE_BYTES = 16;

  /** Returns the handshake for a connection that this process opens to a peer. */
  Handshake dialingHandshake(ProcessId peer) {
    return Handshake.dialing(secret, newNonce(), self, peer);
  }

  /** Returns the handshake for a connection that a peer opened. */
  Handshake acceptingHandshake() {
    return Handshake.accepting(secret, newNonce(), self, peers);
  }

  private static String newNonce() {
    byte[] nonce = new byte[NONCE_BYTES];
    NONCES.nextBytes(nonce);
    return HexFormat.of().formatHex(nonce);
  }
}
