package org.verbenawheel.wire;

import java.util.concurrent.atomic.LongAdder;

/**
 * Counts the bytes, frames, messages and connections of a {@link PeerNode}, for metrics.
 * Thread-safe.
 */
public final class PeerCounters {
  final LongAdder bytesSent = new LongAdder();
  final LongAdder bytesReceived = new LongAdder();
  final LongAdder framesSent = new LongAdder();
  final LongAdder framesReceived = new LongAdder();
  final LongAdder messagesDropped = new LongAdder();
  final LongAdder connectionsOpened = new LongAdder();
  final LongAdder connectionsClosed = new LongAdder();
  final LongAdder connectionsSilent = new LongAdder();
  final LongAdder malformedFrames = new LongAdder();
  final LongAdder refusedHandshakes = new LongAdder();

  PeerCounters() {}

  /**
   * The counts at one instant, all since the process started.
   *
   * @param bytesSent bytes written to connections
   * @param bytesReceived bytes read from connections
   * @param framesSent frames written, heartbeats included
   * @param framesReceived frames read, heartbeats included
   * @param messagesDropped messages lost because a queue was full or a connection was missing
   * @param connectionsOpened connections whose handshake succeeded
   * @param connectionsClosed connections that ended for any reason
   * @param connectionsSilent connections closed because they went silent
   * @param malformedFrames frames that were not valid messages; each closed its connection
   * @param refusedHandshakes handshakes that failed, for example because of a wrong secret
   */
  public record Snapshot(
      long bytesSent,
      long bytesReceived,
      long framesSent,
      long framesReceived,
      long messagesDropped,
      long connectionsOpened,
      long connectionsClosed,
      long connectionsSilent,
      long malformedFrames,
      long refusedHandshakes) {}

  /** Returns the current counts. */
  public Snapshot snapshot() {
    return new Snapshot(
        bytesSent.sum(),
        bytesReceived.sum(),
        framesSent.sum(),
        framesReceived.sum(),
        messagesDropped.sum(),
        connectionsOpened.sum(),
        connectionsClosed.sum(),
        connectionsSilent.sum(),
        malformedFrames.sum(),
        refusedHandshakes.sum());
  }
}
