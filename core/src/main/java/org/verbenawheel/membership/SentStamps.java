package org.verbenawheel.membership;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Issues the stamps of this entry's heartbeats and queries, and records when each was sent. A
 * message that echoes a stamp was sent after the stamp, so it can be dated by this entry's own
 * clock, however long it was in transit.
 */
final class SentStamps {
  private final Duration retention;
  private final TreeMap<Long, Instant> sentAt = new TreeMap<>();
  private long last;

  /**
   * Creates an issuer that has sent no stamps yet.
   *
   * @param first the start of a range of stamps that no earlier process of this entry used
   * @param retention how long the time of a stamp is kept; an echo that arrives later is not dated
   */
  SentStamps(long first, Duration retention) {
    this.last = first;
    this.retention = retention;
  }

  /** Returns a new stamp, which the caller sends at once. */
  long next(Instant now) {
    while (!sentAt.isEmpty() && sentAt.firstEntry().getValue().plus(retention).isBefore(now)) {
      sentAt.pollFirstEntry();
    }
    last++;
    sentAt.put(last, now);
    return last;
  }

  /** Returns when this process sent a stamp; empty if it did not, or too long ago. */
  Optional<Instant> sentAt(long stamp) {
    return Optional.ofNullable(sentAt.get(stamp));
  }
}
