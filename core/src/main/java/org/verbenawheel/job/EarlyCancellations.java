package org.verbenawheel.job;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.time.Instant;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The cancellations of jobs that had not been submitted yet. A submission may be delayed at an
 * entry for longer than its caller waits, and must not run after its cancellation was acknowledged.
 *
 * <p>Part of the replicated state. Never forgets a cancellation before its retention has passed;
 * beyond {@link #MAXIMUM} new ones are refused instead. Not thread-safe.
 */
final class EarlyCancellations {
  /** The maximum number of cancellations. */
  static final int MAXIMUM = 20_000;

  private final Duration retention;
  private final Map<Key, Instant> cancelledAt = new LinkedHashMap<>();

  /**
   * Creates an empty collection.
   *
   * @param retention how long a cancellation is kept
   */
  EarlyCancellations(Duration retention) {
    this.retention = retention;
  }

  /**
   * Adds a cancellation, or renews an earlier one.
   *
   * @param queue the host name and path prefix that the caller addressed
   * @param job the job's id
   * @param now the state time
   * @return false if there are too many, so that it was not added
   */
  boolean add(String queue, String job, Instant now) {
    Key key = new Key(queue, job);
    cancelledAt.remove(key);
    if (cancelledAt.size() >= MAXIMUM) {
      return false;
    }
    cancelledAt.put(key, now);
    return true;
  }

  /** Removes the cancellation of a job that arrives. Returns whether there was one. */
  boolean remove(String queue, String job) {
    return cancelledAt.remove(new Key(queue, job)) != null;
  }

  /** Removes the cancellations whose retention has passed. */
  void removeExpired(Instant now) {
    Iterator<Instant> oldestFirst = cancelledAt.values().iterator();
    while (oldestFirst.hasNext() && now.isAfter(oldestFirst.next().plus(retention))) {
      oldestFirst.remove();
    }
  }

  int size() {
    return cancelledAt.size();
  }

  /** Returns the form in a snapshot, the oldest first. */
  ImmutableList<JobSnapshot.EarlyCancellation> toSnapshot() {
    return cancelledAt.entrySet().stream()
        .map(
            entry ->
                new JobSnapshot.EarlyCancellation(
                    entry.getKey().queue(), entry.getKey().job(), entry.getValue()))
        .collect(ImmutableList.toImmutableList());
  }

  /** Replaces all cancellations by those of a snapshot. */
  void restore(ImmutableList<JobSnapshot.EarlyCancellation> snapshot) {
    cancelledAt.clear();
    snapshot.forEach(
        cancellation ->
            cancelledAt.put(
                new Key(cancellation.queue(), cancellation.job()), cancellation.cancelledAt()));
  }

  private record Key(String queue, String job) {}
}
