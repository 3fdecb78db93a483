package org.verbenawheel.replication;

import java.time.Duration;
import java.time.Instant;

/** A leader's record of how far it has replicated to one other replica. Not thread-safe. */
final class PeerProgress {
  private static final long MAXIMUM_ENTRIES_IN_FLIGHT = 4_096;

  private final Instant trackedSince;
  private long nextIndex;
  private long matchIndex;
  private long acknowledgedRound;
  private Instant acknowledgedSentAt = Instant.EPOCH;
  private long snapshotIndex;
  private long snapshotOffset;
  private Instant snapshotSentAt = Instant.EPOCH;

  /**
   * Creates a record without any reply.
   *
   * @param nextIndex the index of the first entry to send
   * @param now the current time
   */
  PeerProgress(long nextIndex, Instant now) {
    this.nextIndex = nextIndex;
    this.trackedSince = now;
  }

  /** Returns the index of the next entry to send. */
  long nextIndex() {
    return nextIndex;
  }

  /** Returns the index of the last entry known to be on the replica's disk. */
  long matchIndex() {
    return matchIndex;
  }

  /** Returns the latest heartbeat round that the replica acknowledged. */
  long acknowledgedRound() {
    return acknowledgedRound;
  }

  /** Returns when the leader sent the latest message that the replica acknowledged. */
  Instant acknowledgedSentAt() {
    return acknowledgedSentAt;
  }

  /** Returns for how long the replica has not replied, as far as the leader can tell. */
  Duration silence(Instant now) {
    Instant since = acknowledgedSentAt.isAfter(trackedSince) ? acknowledgedSentAt : trackedSince;
    return Duration.between(since, now);
  }

  /** Returns whether more entries may be sent before the replica acknowledges earlier ones. */
  boolean isBelowInFlightLimit() {
    return nextIndex - matchIndex <= MAXIMUM_ENTRIES_IN_FLIGHT;
  }

  /** Records that entries up to an index were sent. */
  void onSent(long lastIndex) {
    nextIndex = Math.max(nextIndex, lastIndex + 1);
  }

  /** Records a reply to a message of this term. */
  void onReply(long round, Instant sentAt) {
    acknowledgedRound = Math.max(acknowledgedRound, round);
    acknowledgedSentAt = sentAt.isAfter(acknowledgedSentAt) ? sentAt : acknowledgedSentAt;
  }

  /** Records that the replica has the entries up to an index on its disk. */
  void onMatch(long index) {
    matchIndex = Math.max(matchIndex, index);
    nextIndex = Math.max(nextIndex, matchIndex + 1);
  }

  /**
   * Moves back to earlier entries after the replica rejected an append, because it lacks the entry
   * before those sent.
   *
   * @param hint the index of the last entry that may be the same on both replicas
   */
  void onMismatch(long hint) {
    nextIndex = Math.max(matchIndex + 1, Math.min(nextIndex, hint + 1));
  }

  /** Returns the byte offset of the next chunk to send of the snapshot with the index. */
  long snapshotOffset(long index) {
    if (snapshotIndex != index) {
      snapshotIndex = index;
      snapshotOffset = 0;
      snapshotSentAt = Instant.EPOCH;
    }
    return snapshotOffset;
  }

  /** Returns whether a snapshot chunk sent after the given time is still unanswered. */
  boolean isAwaitingSnapshotReply(Instant resendBefore) {
    return snapshotSentAt.isAfter(resendBefore);
  }

  void onSnapshotChunkSent(Instant now) {
    snapshotSentAt = now;
  }

  /** Records the byte offset from which the replica needs the snapshot. */
  void onSnapshotReply(long index, long nextOffset) {
    if (index == snapshotIndex) {
      snapshotOffset = nextOffset;
      snapshotSentAt = Instant.EPOCH;
    }
  }
}
