package org.verbenawheel.entry;

import java.time.Duration;

/**
 * Limits the connections that one entry opens to one endpoint.
 *
 * @param maximumConnections the most connections open at once: this entry's share of the
 *     connections that the endpoint accepts
 * @param connectTimeout how long opening a connection may take
 * @param idleLimit how long an unused connection is kept; less than the time after which network
 *     devices between the two hosts drop its state
 * @param probeDelay how long a request may wait, with no response to any request over the open
 *     connections, before a new connection is probed
 * @param maximumAnswerBytes the largest response body accepted
 */
public record EndpointConnectionLimits(
    int maximumConnections,
    Duration connectTimeout,
    Duration idleLimit,
    Duration probeDelay,
    int maximumAnswerBytes) {
  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
  private static final Duration IDLE_LIMIT = Duration.ofSeconds(20);
  private static final Duration PROBE_DELAY = Duration.ofSeconds(1);

  /**
   * Returns the limits of one entry, which gets an equal share of an endpoint's connections and at
   * least one.
   *
   * @param connectionsPerEndpoint how many connections an endpoint accepts from all entries
   *     together
   * @param entries the number of entries
   * @param maximumAnswerBytes the largest response body accepted
   */
  public static EndpointConnectionLimits forOneEntry(
      int connectionsPerEndpoint, int entries, int maximumAnswerBytes) {
    return new EndpointConnectionLimits(
        Math.max(1, connectionsPerEndpoint / entries),
        CONNECT_TIMEOUT,
        IDLE_LIMIT,
        PROBE_DELAY,
        maximumAnswerBytes);
  }
}
