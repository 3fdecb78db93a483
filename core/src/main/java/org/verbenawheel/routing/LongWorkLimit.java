package org.verbenawheel.routing;

import java.time.Duration;
import java.time.Instant;
import org.verbenawheel.configuration.WorkClass;

/**
 * Computes how many slots of a service long work may hold now.
 *
 * <p>In an interactive service, long work gets the slots that short work has not needed recently,
 * less some spare slots for the next peak of short work: a long run that takes an idle slot holds
 * it for the time of about a hundred short runs. It always gets at least one slot and never more
 * than its configured share. Not thread-safe.
 */
final class LongWorkLimit {
  private static final Duration RISE_TIME_CONSTANT = Duration.ofMillis(100);
  private static final Duration FALL_TIME_CONSTANT = Duration.ofSeconds(5);
  private static final double MAXIMUM_SHORT_WORK_LOAD = 0.9;

  private double averageShortHeld;
  private Instant observedAt = Instant.MIN;

  /**
   * Updates the exponential moving average of the slots that short work holds. It follows a rise
   * much faster than a fall.
   */
  void observe(Instant now, int heldByShortWork) {
    if (observedAt.equals(Instant.MIN)) {
      observedAt = now;
      return;
    }
    double elapsed = Duration.between(observedAt, now).toNanos();
    Duration timeConstant =
        heldByShortWork > averageShortHeld ? RISE_TIME_CONSTANT : FALL_TIME_CONSTANT;
    double weight = 1 - Math.exp(-elapsed / timeConstant.toNanos());
    averageShortHeld += weight * (heldByShortWork - averageShortHeld);
    observedAt = now;
  }

  /** Returns how many of a service's slots long work may hold, given its share from 0 to 1. */
  int limit(WorkClass workClass, double share, int totalSlots) {
    int maximum = Math.max(1, (int) Math.floor(share * totalSlots));
    if (workClass == WorkClass.BATCH) {
      return maximum;
    }
    int notNeededByShortWork =
        totalSlots - (int) Math.ceil(averageShortHeld / MAXIMUM_SHORT_WORK_LOAD);
    return Math.max(1, Math.min(maximum, notNeededByShortWork));
  }
}
