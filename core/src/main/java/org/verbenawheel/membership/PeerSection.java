package org.verbenawheel.membership;

import java.time.Instant;
import org.verbenawheel.membership.MembershipMessages.SectionAnswer;
import org.verbenawheel.membership.MembershipMessages.SectionDelta;

/**
 * This entry's copy of the endpoints that one process of another entry holds.
 *
 * <p>The copy is trusted only for a time after the other vouched for exactly this version, so a
 * copy that missed a change ends by itself.
 */
final class PeerSection {
  /** The version of a copy that matches no version of its home entry. */
  private static final long UNKNOWN_VERSION = -1;

  private final SectionContents contents = new SectionContents();
  private long version;
  private Instant vouchedAt = Instant.MIN;
  private Instant aliveAt = Instant.MIN;
  private boolean stopping;

  SectionContents contents() {
    return contents;
  }

  /** Returns the version of the home entry that this copy matches; negative if none. */
  long version() {
    return version;
  }

  /** Returns when the home entry last vouched for this copy. */
  Instant vouchedAt() {
    return vouchedAt;
  }

  /** Returns when the home entry last gave a sign of life, whatever it held. */
  Instant aliveAt() {
    return aliveAt;
  }

  boolean isStopping() {
    return stopping;
  }

  void stopping() {
    stopping = true;
  }

  /** Takes a sign of life: the home entry answered a stamp sent at this instant. */
  void alive(Instant stampSentAt) {
    if (stampSentAt.isAfter(aliveAt)) {
      aliveAt = stampSentAt;
    }
  }

  /** Takes the home entry's word on its version; returns whether this copy matches it. */
  boolean vouch(long homeVersion, long homeDigest, Instant stampSentAt) {
    if (!matches(homeVersion, homeDigest)) {
      return false;
    }
    if (stampSentAt.isAfter(vouchedAt)) {
      vouchedAt = stampSentAt;
    }
    return true;
  }

  boolean matches(long homeVersion, long homeDigest) {
    return version == homeVersion && contents.digest() == homeDigest;
  }

  /** Applies changes if they build on this copy; returns whether they did. */
  boolean apply(SectionDelta delta) {
    if (delta.fromVersion() != version) {
      return false;
    }
    delta.gone().forEach(contents::remove);
    delta.held().forEach(contents::put);
    version = delta.toVersion();
    return true;
  }

  /** Replaces the buckets that differed; an answer that does not fit makes the copy unknown. */
  void apply(SectionAnswer answer) {
    if (answer.version() < version) {
      return;
    }
    answer.buckets().forEach(contents::replaceBucket);
    version = contents.digest() == answer.digest() ? answer.version() : UNKNOWN_VERSION;
  }
}
