package org.verbenawheel.replication;

import static com.google.common.base.Preconditions.checkArgument;

import java.time.Duration;

/**
 * The intervals and timeouts of the protocol. All replicas of a cluster must use the same.
 *
 * @param heartbeat the interval between a leader's heartbeats
 * @param electionTimeout the minimum time without a message from a leader before a follower starts
 *     an election; each wait is drawn between once and twice this value
 * @param lease how long the leader lease lasts after the leader sent a heartbeat that a quorum
 *     acknowledged; shorter than the election timeout by the drift between two clocks
 */
public record ReplicationTimings(Duration heartbeat, Duration electionTimeout, Duration lease) {
  /** Timings for availability zones a few milliseconds apart. */
  public static final ReplicationTimings DEFAULT =
      new ReplicationTimings(
          Duration.ofMillis(100), Duration.ofMillis(1_000), Duration.ofMillis(800));

  /**
   * Checks the timings.
   *
   * @throws IllegalArgumentException if the lease could outlast the election of another leader, or
   *     is shorter than two heartbeats
   */
  public ReplicationTimings {
    checkArgument(
        lease.compareTo(electionTimeout) < 0,
        "lease %s must be shorter than the election timeout %s",
        lease,
        electionTimeout);
    checkArgument(
        heartbeat.multipliedBy(2).compareTo(lease) <= 0,
        "heartbeat %s must be at most half of the lease %s",
        heartbeat,
        lease);
  }
}
