package org.verbenawheel.claim;

import java.time.Duration;
import java.time.Instant;
import org.verbenawheel.request.IdempotencyKey;

/**
 * Says which keys are accepted and what is kept of answered claims.
 *
 * @param retention how long a key is remembered after the time it holds
 * @param futureTolerance how far a key's time may lie ahead, for callers whose clocks run fast
 * @param answerRetention how long an answer is kept after the key's time
 * @param maximumAnswerBytes the largest answer body that is kept
 */
public record ClaimPolicy(
    Duration retention,
    Duration futureTolerance,
    Duration answerRetention,
    int maximumAnswerBytes) {
  /** A day for keys, ten minutes for answers of up to 16 KiB. */
  public static final ClaimPolicy DEFAULT =
      new ClaimPolicy(
          Duration.ofHours(24), Duration.ofMinutes(5), Duration.ofMinutes(10), 16 * 1024);

  /**
   * Returns whether a key is so old that its first use may be forgotten.
   *
   * @param key the caller's key
   * @param stateTime the time of the replicated state
   */
  boolean isTooOld(IdempotencyKey key, Instant stateTime) {
    return key.createdAt().isBefore(stateTime.minus(retention));
  }

  /**
   * Returns whether a key's time lies too far ahead.
   *
   * @param key the caller's key
   * @param stateTime the time of the replicated state
   */
  boolean isInFuture(IdempotencyKey key, Instant stateTime) {
    return key.createdAt().isAfter(stateTime.plus(futureTolerance));
  }

  /**
   * Returns whether the answer of a key is no longer kept.
   *
   * @param key the caller's key
   * @param stateTime the time of the replicated state
   */
  boolean dropsAnswer(IdempotencyKey key, Instant stateTime) {
    return key.createdAt().isBefore(stateTime.minus(answerRetention));
  }
}
