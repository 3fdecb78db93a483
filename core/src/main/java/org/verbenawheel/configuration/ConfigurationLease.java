package org.verbenawheel.configuration;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

/**
 * Decides whether an entry may use its configuration: only if a control replica confirmed the
 * version in answer to a question that the entry sent less than the freshness limit ago.
 *
 * <p>The lease starts when the question is sent, not when its answer arrives. The answer contains
 * every version that was accepted before the question was sent, so an entry uses an older version
 * for at most the freshness limit after a newer one was accepted, regardless of message delays. Not
 * thread-safe.
 */
final class ConfigurationLease {
  /** The effect of an answer on the lease. */
  enum Effect {
    /** A newer version replaced the held one. */
    NEWER_VERSION,
    /** The held version was confirmed. */
    CONFIRMED,
    /**
     * Nothing changed: the answer confirms nothing, has an older version than the held one, or does
     * not apply to it.
     */
    IGNORED
  }

  private final Duration freshnessLimit;
  private VersionedConfiguration configuration = VersionedConfiguration.NONE;
  private Instant confirmedQuestionSentAt = Instant.MIN;

  /**
   * Creates an expired lease without a configuration.
   *
   * @param freshnessLimit how long a version may be used after the question that confirmed it was
   *     sent
   */
  ConfigurationLease(Duration freshnessLimit) {
    this.freshnessLimit = freshnessLimit;
  }

  /** Returns the question to send, with the held version. */
  ConfigurationQuestion nextQuestion() {
    return new ConfigurationQuestion(configuration.version());
  }

  /**
   * Updates the configuration and extends the lease if the answer confirms a version.
   *
   * @param sentAt the time at which this entry sent the question
   * @param answer the answer, which may arrive after those to later questions
   */
  Effect onAnswer(Instant sentAt, ConfigurationAnswer answer) {
    if (answer instanceof ConfigurationAnswer.Unchanged unchanged) {
      return onConfirmed(sentAt, unchanged.version());
    }
    if (answer instanceof ConfigurationAnswer.Changed changed) {
      boolean appliesToHeld = changed.delta().fromVersion() == configuration.version();
      return appliesToHeld
          ? onConfiguration(sentAt, changed.delta().applyTo(configuration))
          : Effect.IGNORED;
    }
    if (answer instanceof ConfigurationAnswer.Whole whole) {
      return onConfiguration(sentAt, whole.configuration());
    }
    return Effect.IGNORED;
  }

  private Effect onConfirmed(Instant sentAt, long version) {
    if (version != configuration.version()) {
      return Effect.IGNORED;
    }
    extend(sentAt);
    return Effect.CONFIRMED;
  }

  private Effect onConfiguration(Instant sentAt, VersionedConfiguration received) {
    if (received.version() < configuration.version()) {
      return Effect.IGNORED;
    }
    boolean isNewer = received.version() > configuration.version();
    configuration = received;
    extend(sentAt);
    return isNewer ? Effect.NEWER_VERSION : Effect.CONFIRMED;
  }

  private void extend(Instant sentAt) {
    if (sentAt.isAfter(confirmedQuestionSentAt)) {
      confirmedQuestionSentAt = sentAt;
    }
  }

  /**
   * Returns the configuration that the entry may use; empty if the lease has expired.
   *
   * @param now the current time
   */
  Optional<VersionedConfiguration> inForce(Instant now) {
    return isFresh(now) ? Optional.of(configuration) : Optional.empty();
  }

  private boolean isFresh(Instant now) {
    return !confirmedQuestionSentAt.equals(Instant.MIN)
        && now.isBefore(confirmedQuestionSentAt.plus(freshnessLimit));
  }
}
