package org.verbenawheel.wire;

import static com.google.common.base.Preconditions.checkArgument;

import java.time.Duration;

/**
 * The heartbeat interval, timeouts and backoff of a {@link PeerNode}'s connections.
 *
 * @param heartbeatInterval how often the process that opened a connection sends a heartbeat
 * @param silenceTimeout how long no byte may be received before a connection is closed
 * @param openTimeout the maximum time for connect and handshake together
 * @param firstRetryWait the wait after the first failed connection attempt
 * @param longestRetryWait the maximum wait between attempts
 */
public record PeerTimings(
    Duration heartbeatInterval,
    Duration silenceTimeout,
    Duration openTimeout,
    Duration firstRetryWait,
    Duration longestRetryWait) {
  /** The default timings of the daemons. */
  public static final PeerTimings DEFAULT =
      new PeerTimings(
          Duration.ofMillis(300),
          Duration.ofMillis(1500),
          Duration.ofSeconds(1),
          Duration.ofMillis(50),
          Duration.ofSeconds(1));

  /**
   * Validates the timings.
   *
   * @throws IllegalArgumentException if the silence timeout is less than twice the heartbeat
   *     interval, so that a heartbeat might not arrive in time, or if the retry waits are not
   *     positive and ascending
   */
  public PeerTimings {
    checkArgument(
        heartbeatInterval.multipliedBy(2).compareTo(silenceTimeout) <= 0,
        "the silence timeout must be at least twice the heartbeat interval");
    checkArgument(
        firstRetryWait.toNanos() > 0 && firstRetryWait.compareTo(longestRetryWait) <= 0,
        "the first retry wait must be positive and at most the longest retry wait");
  }
}
