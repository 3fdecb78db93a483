package org.verbenawheel.execution;

import java.time.Duration;
import java.time.Instant;

/**
 * Limits the share of the state thread's time that scheduling rounds take. A round takes longer the
 * more jobs wait; without a pause after it, a backlog would leave no time to answer callers.
 */
final class RoundPacer {
  /** A shorter round is not followed by a pause, since a start would wait for the next tick. */
  private static final Duration SHORT_ROUND = Duration.ofMillis(2);

  /** Pause after a round, in durations of that round: rounds take a third of the time. */
  private static final int PAUSE_PER_ROUND = 2;

  private Instant nextRoundAt = Instant.MIN;

  /** Returns whether a round may begin. */
  boolean isDue(Instant now) {
    return !now.isBefore(nextRoundAt);
  }

  /** Records a round. */
  void onRound(Instant begin, Instant end) {
    Duration duration = Duration.between(begin, end);
    nextRoundAt =
        duration.compareTo(SHORT_ROUND) < 0
            ? end
            : end.plus(duration.multipliedBy(PAUSE_PER_ROUND));
  }
}
