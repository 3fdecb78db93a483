package org.verbenawheel.entry;

import java.time.Duration;

/**
 * Limits the connections that one entry opens to one endpoint.
 *
 * @param maximumConnections how many connections at once; the share of this entry in the endpoint's
 *     connections
 * @param connectTimeout how long opening a connection may take
 * @param idleLimit how long an unused connection is kept; shorter than network devices between the
 *     two hosts remember it
 * @param suspicionDelay how long an endpoint may give no answer at all over its open connections,
 *     while one is awaited, before a new connection is tried
 * @param maximumAnswerBytes the largest answer body accepted
 */
public record EndpointConnectionLimits(
    int maximumConnections,
    Duration connectTimeout,
    Duration idleLimit,
    Duration suspicionDelay,
    int maximumAnswerBytes) {
  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
  private static final Duration IDLE_LIMIT = Duration.ofSeconds(20);
  private static final Duration SUSPICION_DELAY = Duration.ofSeconds(1);

  /**
   * Returns the limits of one out of several entries.
   *
   * @param connectionsPerEndpoint how many connections an endpoint takes from all entries together
   * @param entries how many entries there are
   * @param maximumAnswerBytes the largest answer body accepted
   */
  public static EndpointConnectionLimits shareOf(
      int connectionsPerEndpoint, int entries, int maximumAnswerBytes) {
    return new EndpointConnectionLimits(
        Math.max(1, connectionsPerEndpoint / entries),
        CONNECT_TIMEOUT,
        IDLE_LIMIT,
        SUSPICION_DELAY,
        maximumAnswerBytes);
  }
}
