package org.verbenawheel.replication;

import java.time.Instant;

/** What a leader knows of one other replica. Not thread-safe. */
final class PeerProgress {
  private static final long MAXIMUM_ENTRIES_IN_FLIGHT = 4_096;

  private long nextIndex;
  private long matchIndex;
  private long answeredRound;
  private Instant answeredSentAt = Instant.EPOCH;
  private long snapshotIndex;
  private long snapshotOffset;
  private Instant snapshotSentAt = Instant.EPOCH;

  PeerProgress(long nextIndex) {
    this.nextIndex = nextIndex;
  }

  /** Returns the first entry to send next. */
  long nextIndex() {
    return nextIndex;
  }

  /** Returns the last entry known to be on the replica's disk. */
  long matchIndex() {
    return matchIndex;
  }

  /** Returns the latest round that the replica answered. */
  long answeredRound() {
    return answeredRound;
  }

  /** Returns when the latest answered message was sent. */
  Instant answeredSentAt() {
    return answeredSentAt;
  }

  /** Returns whether more entries may be sent before the replica answers. */
  boolean hasRoom() {
    return nextIndex - matchIndex <= MAXIMUM_ENTRIES_IN_FLIGHT;
  }

  /** Notes that entries up to an index were sent. */
  void onSent(long lastIndex) {
    nextIndex = Math.max(nextIndex, lastIndex + 1);
  }

  /** Notes that the replica answered a message of this term. */
  void onAnswer(long round, Instant sentAt) {
    answeredRound = Math.max(answeredRound, round);
    answeredSentAt = sentAt.isAfter(answeredSentAt) ? sentAt : answeredSentAt;
  }

  /** Notes that the replica has entries on its disk. */
  void onMatch(long index) {
    matchIndex = Math.max(matchIndex, index);
    nextIndex = Math.max(nextIndex, matchIndex + 1);
  }

  /**
   * Notes that the replica lacked the entry before those sent.
   *
   * @param hint the last entry that may be the same on both
   */
  void onMismatch(long hint) {
    nextIndex = Math.max(matchIndex + 1, Math.min(nextIndex, hint + 1));
  }

  /** Returns the offset from which to send a snapshot. */
  long snapshotOffset(long index) {
    if (snapshotIndex != index) {
      snapshotIndex = index;
      snapshotOffset = 0;
      snapshotSentAt = Instant.EPOCH;
    }
    return snapshotOffset;
  }

  /** Returns whether a part of a snapshot was sent and not answered yet. */
  boolean awaitsSnapshotAnswer(Instant resendBefore) {
    return snapshotSentAt.isAfter(resendBefore);
  }

  /** Notes that a part of a snapshot was sent. */
  void onSnapshotSent(Instant now) {
    snapshotSentAt = now;
  }

  /** Notes which part of a snapshot the replica wants next. */
  void onSnapshotAnswer(long index, long nextOffset) {
    if (index == snapshotIndex) {
      snapshotOffset = nextOffset;
      snapshotSentAt = Instant.EPOCH;
    }
  }
}
