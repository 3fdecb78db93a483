package org.verbenawheel.admission;

import java.time.Duration;
import java.time.Instant;
import java.util.TreeMap;

/**
 * Counts tickets by deadline, to the nearest bucket, so that a place in the queue costs no walk
 * through it. Not safe for use by many threads.
 */
final class DeadlineCounts {
  private static final long BUCKET_MILLISECONDS = Duration.ofMillis(20).toMillis();

  private final TreeMap<Long, Integer> counts = new TreeMap<>();

  void add(Instant deadline) {
    counts.merge(bucketOf(deadline), 1, Integer::sum);
  }

  void remove(Instant deadline) {
    counts.computeIfPresent(
        bucketOf(deadline), (bucket, count) -> count == 1 ? null : Integer.valueOf(count - 1));
  }

  /** Returns how many deadlines are at or before one. */
  int before(Instant deadline) {
    return counts.headMap(bucketOf(deadline), true).values().stream()
        .mapToInt(Integer::intValue)
        .sum();
  }

  private static long bucketOf(Instant deadline) {
    return deadline.toEpochMilli() / BUCKET_MILLISECONDS;
  }
}
