package org.verbenawheel.admission;

import java.time.Duration;
import java.time.Instant;
import java.util.TreeMap;

/**
 * Counts tickets by deadline in buckets of a fixed width, so that the position of a new ticket is
 * known without iterating over the queue. Not thread-safe.
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

  /** Returns how many deadlines are in the bucket of the given deadline or an earlier one. */
  int countUpTo(Instant deadline) {
    return counts.headMap(bucketOf(deadline), true).values().stream()
        .mapToInt(Integer::intValue)
        .sum();
  }

  private static long bucketOf(Instant deadline) {
    return deadline.toEpochMilli() / BUCKET_MILLISECONDS;
  }
}
