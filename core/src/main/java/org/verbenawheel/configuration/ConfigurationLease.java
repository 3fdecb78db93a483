package org.verbenawheel.configuration;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

/**
 * Decides which configuration an entry may work by: a version that a control replica confirmed for
 * a question which this entry sent less than the freshness limit ago.
 *
 * <p>The lease runs from the sending of the question, not from the arrival of its answer: whatever
 * was accepted before the sending is in the answer, so an older version can be in use at most the
 * freshness limit after a newer one was accepted, however long messages take. Not thread-safe.
 */
final class ConfigurationLease {
  /** What an answer did. */
  enum Effect {
    /** A newer version came into force. */
    NEWER_VERSION,
    /** The version held was confirmed. */
    CONFIRMED,
    /** The answer is older than what is known, or does not fit it: nothing changed. */
    IGNORED
  }

  private final Duration freshness;
  private VersionedConfiguration held = VersionedConfiguration.NONE;
  private Instant confirmedFor = Instant.MIN;

  /**
   * Makes a lease that holds nothing.
   *
   * @param freshness how long a version may be used after its confirmation was asked for
   */
  ConfigurationLease(Duration freshness) {
    this.freshness = freshness;
  }

  /** Returns the question to send now. */
  ConfigurationQuestion question() {
    return new ConfigurationQuestion(held.version());
  }

  /**
   * Takes an answer.
   *
   * @param sentAt when this entry sent the question
   * @param answer what came back, perhaps late
   */
  Effect onAnswer(Instant sentAt, ConfigurationAnswer answer) {
    if (answer instanceof ConfigurationAnswer.Unchanged unchanged) {
      return onConfirmed(sentAt, unchanged.version());
    }
    if (answer instanceof ConfigurationAnswer.Changed changed) {
      boolean fits = changed.delta().fromVersion() == held.version();
      return fits ? onConfiguration(sentAt, changed.delta().applyTo(held)) : Effect.IGNORED;
    }
    if (answer instanceof ConfigurationAnswer.Whole whole) {
      return onConfiguration(sentAt, whole.configuration());
    }
    return Effect.IGNORED;
  }

  private Effect onConfirmed(Instant sentAt, long version) {
    if (version != held.version()) {
      return Effect.IGNORED;
    }
    extend(sentAt);
    return Effect.CONFIRMED;
  }

  private Effect onConfiguration(Instant sentAt, VersionedConfiguration received) {
    if (received.version() < held.version()) {
      return Effect.IGNORED;
    }
    boolean newer = received.version() > held.version();
    held = received;
    extend(sentAt);
    return newer ? Effect.NEWER_VERSION : Effect.CONFIRMED;
  }

  private void extend(Instant sentAt) {
    if (sentAt.isAfter(confirmedFor)) {
      confirmedFor = sentAt;
    }
  }

  /**
   * Returns the configuration that may be used.
   *
   * @param now the present moment
   */
  Optional<VersionedConfiguration> inForce(Instant now) {
    return isFresh(now) ? Optional.of(held) : Optional.empty();
  }

  private boolean isFresh(Instant now) {
    return !confirmedFor.equals(Instant.MIN) && now.isBefore(confirmedFor.plus(freshness));
  }
}
