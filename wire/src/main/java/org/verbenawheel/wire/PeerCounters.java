package org.verbenawheel.wire;

import java.util.concurrent.atomic.LongAdder;

/** Counts what passes through a {@link PeerNode}, for metrics. Safe for use by many threads. */
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
   * The counts at one moment, all since the process began.
   *
   * @param bytesSent bytes written to connections
   * @param bytesReceived bytes read from connections
   * @param framesSent frames written, heartbeats included
   * @param framesReceived frames read, heartbeats included
   * @param messagesDropped messages that a full queue or a missing connection lost
   * @param connectionsOpened connections whose handshake succeeded
   * @param connectionsClosed connections that ended, for whatever reason
   * @param connectionsSilent connections given up because they went silent
   * @param malformedFrames frames that were not messages; each ended its connection
   * @param refusedHandshakes handshakes that failed, for example for a wrong secret
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

  /** Returns the counts at this moment. */
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
