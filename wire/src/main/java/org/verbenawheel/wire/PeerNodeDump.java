package org.verbenawheel.wire;

import com.google.common.collect.ImmutableList;
import java.util.Optional;

/**
 * The state of a {@link PeerNode} for a person.
 *
 * @param self this process
 * @param links the connections that this process opens, by peer
 * @param incomingConnections how many connections peers have opened
 * @param counters what passed since the process began
 */
public record PeerNodeDump(
    String self,
    ImmutableList<Link> links,
    int incomingConnections,
    PeerCounters.Snapshot counters) {
  /**
   * One connection that this process keeps open.
   *
   * @param peer the other end
   * @param address its address
   * @param connected whether the handshake succeeded
   * @param silentMilliseconds the time since the last byte came, if there is a connection
   * @param queuedBytes the bytes that wait to be written
   * @param pendingRequests the requests that await a reply
   */
  public record Link(
      String peer,
      String address,
      boolean connected,
      Optional<Long> silentMilliseconds,
      long queuedBytes,
      int pendingRequests) {}
}
