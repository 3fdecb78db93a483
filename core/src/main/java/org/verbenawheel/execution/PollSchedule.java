package org.verbenawheel.execution;

import java.time.Duration;
import java.time.Instant;

/**
 * Decides when one worker is polled next, if a poll is needed. Confined to the state thread.
 *
 * <p>Polls that fail are repeated at a steady pace while runs are bound to the worker, since their
 * leases run out. Otherwise the pause between them grows up to {@link
 * ExecutionTimings#longestPollRetry()}, so that the workers of a zone that is cut off cost little.
 * It does not depend on reports, which may come from a worker that can send but not receive; only
 * one that ends a silence makes the pause start over.
 */
final class PollSchedule {
  private final ExecutionTimings timings;
  private boolean failing;
  private Duration nextPause;
  private Instant nextPollAt;

  /** Creates a schedule whose first poll is due now. */
  PollSchedule(ExecutionTimings timings, Instant now) {
    this.timings = timings;
    this.nextPause = timings.pollRetry();
    this.nextPollAt = now;
  }

  /** Returns whether the last poll failed. */
  boolean isFailing() {
    return failing;
  }

  boolean isDue(Instant now) {
    return !now.isBefore(nextPollAt);
  }

  /** Makes the next poll due now. */
  void pollNow(Instant now) {
    nextPollAt = now;
  }

  /** Records that the worker answered. */
  void onAnswered(Instant now) {
    onNewIncarnation();
    nextPollAt = now.plus(timings.pollPause());
  }

  /**
   * Records that a poll failed.
   *
   * @param hasBoundRuns whether runs are bound to the worker
   */
  void onFailed(Instant now, boolean hasBoundRuns) {
    failing = true;
    if (hasBoundRuns) {
      nextPollAt = now.plus(timings.pollRetry());
      return;
    }
    nextPollAt = now.plus(nextPause);
    Duration doubled = nextPause.multipliedBy(2);
    nextPause =
        doubled.compareTo(timings.longestPollRetry()) < 0 ? doubled : timings.longestPollRetry();
  }

  /** Records that a worker that was silent reported again. */
  void onSilenceEnded(Instant now) {
    nextPause = timings.pollRetry();
    nextPollAt = now;
  }

  /** Forgets the failed polls of an earlier incarnation. */
  void onNewIncarnation() {
    failing = false;
    nextPause = timings.pollRetry();
  }
}
