package org.verbenawheel.wire;

import static com.google.common.base.Preconditions.checkArgument;

import java.time.Duration;

/**
 * How a {@link PeerNode} times its connections.
 *
 * @param heartbeatInterval how often each end asks the other for a sign of life
 * @param silenceTimeout how long a connection may bring no byte before it is replaced
 * @param openTimeout how long connecting and handshake may take together
 * @param firstRetryWait the wait after a first failed attempt to connect
 * @param longestRetryWait the longest wait between attempts
 */
public record PeerTimings(
    Duration heartbeatInterval,
    Duration silenceTimeout,
    Duration openTimeout,
    Duration firstRetryWait,
    Duration longestRetryWait) {
  /** The timings that daemons use unless their settings say otherwise. */
  public static final PeerTimings DEFAULT =
      new PeerTimings(
          Duration.ofMillis(300),
          Duration.ofMillis(1500),
          Duration.ofSeconds(1),
          Duration.ofMillis(50),
          Duration.ofSeconds(1));

  /**
   * Checks the timings.
   *
   * @throws IllegalArgumentException if a heartbeat could not arrive within the silence timeout
   */
  public PeerTimings {
    checkArgument(
        heartbeatInterval.multipliedBy(2).compareTo(silenceTimeout) <= 0,
        "the silence timeout must be at least twice the heartbeat interval");
    checkArgument(
        firstRetryWait.toNanos() > 0 && firstRetryWait.compareTo(longestRetryWait) <= 0,
        "the first retry wait must be positive and at most the longest");
  }
}
