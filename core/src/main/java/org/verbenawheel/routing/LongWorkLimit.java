package org.verbenawheel.routing;

import java.time.Duration;
import java.time.Instant;
import org.verbenawheel.configuration.WorkClass;

/**
 * Says how many slots of a service long work may hold at the present moment.
 *
 * <p>Where somebody waits at a desk, long work gets what short work has not needed of late, with
 * spare slots for its next peak: a straggler that takes an idle slot holds it through a hundred
 * short runs. It never gets more than its share, nor less than one slot. Not safe for use by many
 * threads.
 */
final class LongWorkLimit {
  private static final Duration RISES_OVER = Duration.ofMillis(100);
  private static final Duration FALLS_OVER = Duration.ofSeconds(5);
  private static final double HIGHEST_SHORT_WORK_LOAD = 0.9;

  private double shortHeld;
  private Instant observedAt = Instant.MIN;

  /** Takes how many slots short work holds now. */
  void observe(Instant now, int heldByShortWork) {
    if (observedAt.equals(Instant.MIN)) {
      observedAt = now;
      return;
    }
    double elapsed = Duration.between(observedAt, now).toNanos();
    Duration averagedOver = heldByShortWork > shortHeld ? RISES_OVER : FALLS_OVER;
    double weight = 1 - Math.exp(-elapsed / averagedOver.toNanos());
    shortHeld += weight * (heldByShortWork - shortHeld);
    observedAt = now;
  }

  /** Returns how many slots long work may hold. */
  int limit(WorkClass workClass, double share, int totalSlots) {
    int largest = Math.max(1, (int) Math.floor(share * totalSlots));
    if (workClass == WorkClass.BATCH) {
      return largest;
    }
    int left = totalSlots - (int) Math.ceil(shortHeld / HIGHEST_SHORT_WORK_LOAD);
    return Math.max(1, Math.min(largest, left));
  }
}
