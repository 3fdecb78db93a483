package org.verbenawheel.replication;

import static com.google.common.base.Preconditions.checkArgument;

import java.time.Duration;

/**
 * The times that a cluster agrees on. All replicas must use the same.
 *
 * @param heartbeat how often a leader tells the others that it leads
 * @param electionTimeout how long a follower waits without a word before it asks for an election;
 *     each wait is drawn from one to two of it
 * @param lease how long a leader may decide after it sent a heartbeat that a quorum answered; less
 *     than the election timeout by the drift of two clocks
 */
public record ReplicationTimings(Duration heartbeat, Duration electionTimeout, Duration lease) {
  /** Timings for availability zones a few milliseconds apart. */
  public static final ReplicationTimings DEFAULT =
      new ReplicationTimings(
          Duration.ofMillis(100), Duration.ofMillis(1_000), Duration.ofMillis(800));

  /**
   * Checks the timings.
   *
   * @throws IllegalArgumentException if the lease could outlast an election
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
