package org.verbenawheel.host;

import java.time.Instant;

/**
 * The latest order that a leader may have sent to the platform for a host.
 *
 * @param host the host's name
 * @param pool the pool that the host is to join; empty if it is to go down for maintenance
 * @param term the term of the leader that gave the order
 * @param recordedAt when the order was committed, by that leader's clock; it was sent soon after
 */
public record HostOrder(String host, String pool, long term, Instant recordedAt) {}
