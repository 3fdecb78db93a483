package org.verbenawheel.claim;

import java.time.Duration;
import java.time.Instant;
import org.verbenawheel.request.IdempotencyKey;

/**
 * Limits which keys are accepted, and how long claims and answers are kept.
 *
 * @param retention how long a claim is kept, counted from the creation time of its key
 * @param futureTolerance how far in the future a key's creation time may lie, for callers with fast
 *     clocks
 * @param answerRetention how long an answer is kept, counted from the creation time of the key
 * @param maximumAnswerBytes the largest answer body that is kept, in bytes
 */
public record ClaimPolicy(
    Duration retention,
    Duration futureTolerance,
    Duration answerRetention,
    int maximumAnswerBytes) {
  /** Keeps keys for a day, and answers of up to 16 KiB for ten minutes. */
  public static final ClaimPolicy DEFAULT =
      new ClaimPolicy(
          Duration.ofHours(24), Duration.ofMinutes(5), Duration.ofMinutes(10), 16 * 1024);

  /**
   * Returns whether a key is older than the retention, so its claim may have been removed.
   *
   * @param stateTime the time of the replicated state
   */
  boolean isTooOld(IdempotencyKey key, Instant stateTime) {
    return key.createdAt().isBefore(stateTime.minus(retention));
  }

  /**
   * Returns whether a key's creation time lies further in the future than the tolerance allows.
   *
   * @param stateTime the time of the replicated state
   */
  boolean isInFuture(IdempotencyKey key, Instant stateTime) {
    return key.createdAt().isAfter(stateTime.plus(futureTolerance));
  }

  /**
   * Returns whether the answer to the request with this key is no longer kept.
   *
   * @param stateTime the time of the replicated state
   */
  boolean isAnswerExpired(IdempotencyKey key, Instant stateTime) {
    return key.createdAt().isBefore(stateTime.minus(answerRetention));
  }
}
