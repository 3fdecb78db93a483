package org.verbenawheel.wire;

import java.security.SecureRandom;
import java.time.InstantSource;
import java.util.HexFormat;
import org.verbenawheel.identity.ProcessId;

/**
 * What the connections of one running {@link PeerNode} share.
 *
 * @param self this process
 * @param peers tells the processes that may connect
 * @param secret the shared secret
 * @param clock tells the time
 * @param timings how connections are timed
 * @param maximumFrameBytes the longest frame accepted and sent
 * @param maximumQueueBytes the longest queue of one connection
 * @param loop the thread of all connections
 * @param counters counts what passes
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

  /** Returns the handshake for a connection to a peer. */
  Handshake dialing(ProcessId peer) {
    return Handshake.dialing(secret, newNonce(), self, peer);
  }

  /** Returns the handshake for a connection that some peer opened. */
  Handshake accepting() {
    return Handshake.accepting(secret, newNonce(), self, peers);
  }

  private static String newNonce() {
    byte[] nonce = new byte[NONCE_BYTES];
    NONCES.nextBytes(nonce);
    return HexFormat.of().formatHex(nonce);
  }
}
