package org.verbenawheel.membership;

import java.time.Instant;
import org.verbenawheel.membership.MembershipMessages.SectionAnswer;
import org.verbenawheel.membership.MembershipMessages.SectionDelta;

/**
 * This entry's copy of the endpoints that one process of another entry, their home entry, holds.
 *
 * <p>The copy is trusted only for a limited time after the home entry confirmed exactly this
 * version and digest, so a copy that missed a change expires by itself.
 */
final class PeerSection {
  /** The version of a copy that matches no version at its home entry. */
  private static final long UNKNOWN_VERSION = -1;

  private final SectionContents contents = new SectionContents();
  private long version;
  private Instant confirmedAt = Instant.MIN;
  private Instant aliveAt = Instant.MIN;
  private boolean markStopping;

  SectionContents contents() {
    return contents;
  }

  /** Returns the version at the home entry that this copy matches; negative if none. */
  long version() {
    return version;
  }

  /**
   * Returns when this entry sent the stamp that the home entry's last confirmation of this copy
   * echoed; {@link Instant#MIN} if none.
   */
  Instant confirmedAt() {
    return confirmedAt;
  }

  /**
   * Returns when this entry sent the latest stamp that the home entry echoed, even if this copy did
   * not match; {@link Instant#MIN} if none.
   */
  Instant aliveAt() {
    return aliveAt;
  }

  boolean isStopping() {
    return markStopping;
  }

  void markStopping() {
    markStopping = true;
  }

  /** Records that the home entry echoed a stamp that this entry sent at this instant. */
  void recordAlive(Instant stampSentAt) {
    if (stampSentAt.isAfter(aliveAt)) {
      aliveAt = stampSentAt;
    }
  }

  /**
   * Extends the trust in this copy if it matches the home entry's version and digest.
   *
   * @param stampSentAt when this entry sent the stamp that the home entry echoed
   * @return whether the copy matches
   */
  boolean confirm(long homeVersion, long homeDigest, Instant stampSentAt) {
    if (!matches(homeVersion, homeDigest)) {
      return false;
    }
    if (stampSentAt.isAfter(confirmedAt)) {
      confirmedAt = stampSentAt;
    }
    return true;
  }

  boolean matches(long homeVersion, long homeDigest) {
    return version == homeVersion && contents.digest() == homeDigest;
  }

  /** Applies changes if they are based on the version of this copy; returns whether they are. */
  boolean apply(SectionDelta delta) {
    if (delta.fromVersion() != version) {
      return false;
    }
    delta.gone().forEach(contents::remove);
    delta.held().forEach(contents::put);
    version = delta.toVersion();
    return true;
  }

  /**
   * Replaces the buckets that differed. If the result does not match the answer's digest, the copy
   * matches no version until a later answer. An answer older than the copy is ignored.
   */
  void apply(SectionAnswer answer) {
    if (answer.version() < version) {
      return;
    }
    answer.buckets().forEach(contents::replaceBucket);
    version = contents.digest() == answer.digest() ? answer.version() : UNKNOWN_VERSION;
  }
}
