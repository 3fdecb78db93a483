package org.verbenawheel.membership;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Remembers when this entry sent its recent stamps. A word that echoes a stamp was spoken after the
 * stamp was sent, so it can be dated by this entry's own clock, however long it was on its way.
 */
final class SentStamps {
  private final Duration memory;
  private final TreeMap<Long, Instant> sentAt = new TreeMap<>();
  private long last;

  /**
   * Makes an empty memory.
   *
   * @param first a number that no earlier process of this entry used
   * @param memory how long a stamp is of use
   */
  SentStamps(long first, Duration memory) {
    this.last = first;
    this.memory = memory;
  }

  /** Returns a new stamp. */
  long next(Instant now) {
    while (!sentAt.isEmpty() && sentAt.firstEntry().getValue().plus(memory).isBefore(now)) {
      sentAt.pollFirstEntry();
    }
    last++;
    sentAt.put(last, now);
    return last;
  }

  /** Returns when a stamp was sent; empty if it is not this process's or too old. */
  Optional<Instant> sentAt(long stamp) {
    return Optional.ofNullable(sentAt.get(stamp));
  }
}
