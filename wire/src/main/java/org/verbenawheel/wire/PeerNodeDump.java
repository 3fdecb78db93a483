package org.verbenawheel.wire;

import com.google.common.collect.ImmutableList;
import java.util.Optional;

/**
 * The state of a {@link PeerNode} for an operator.
 *
 * @param self the name of this process
 * @param links the connections that this process opens, by peer
 * @param incomingConnections the number of open connections that peers opened
 * @param counters the counts since the process started
 */
public record PeerNodeDump(
    String self,
    ImmutableList<Link> links,
    int incomingConnections,
    PeerCounters.Snapshot counters) {
  /**
   * The outgoing connection to one peer.
   *
   * @param peer the name of the peer
   * @param address the peer's IP address and port
   * @param connected whether the handshake succeeded
   * @param silentMilliseconds the time since the last byte was received, if there is a connection
   * @param queuedBytes the bytes waiting to be written
   * @param pendingRequests the number of requests that await a reply
   */
  public record Link(
      String peer,
      String address,
      boolean connected,
      Optional<Long> silentMilliseconds,
      long queuedBytes,
      int pendingRequests) {}
}
