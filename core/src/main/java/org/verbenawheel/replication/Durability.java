package org.verbenawheel.replication;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * Tracks which writes are synced to disk, and holds back the messages that depend on them.
 *
 * <p>Every acknowledgement and every vote goes through here, so none is sent before the data that
 * it acknowledges would survive a power loss. Not thread-safe.
 */
final class Durability {
  private final Deque<PendingEntries> pendingEntries = new ArrayDeque<>();
  private final Deque<HeldMessage> heldMessages = new ArrayDeque<>();
  private long lastIssued;
  private long lastSynced;
  private long lastHardStateSequence;
  private long durableIndex;

  Durability(long durableIndex) {
    this.durableIndex = durableIndex;
  }

  /** Returns a new sequence number for a write. */
  long nextSequence() {
    lastIssued++;
    return lastIssued;
  }

  /** Returns the sequence number of the last requested write, synced or not. */
  long lastIssuedSequence() {
    return lastIssued;
  }

  /** Returns a new sequence number for a write of the hard state. */
  long nextHardStateSequence() {
    lastHardStateSequence = nextSequence();
    return lastHardStateSequence;
  }

  /** Returns a new sequence number for a write of entries up to an index. */
  long nextEntriesSequence(long lastIndex) {
    long sequence = nextSequence();
    pendingEntries.addLast(new PendingEntries(sequence, lastIndex));
    return sequence;
  }

  /** Returns the index of the last synced entry. */
  long durableIndex() {
    return durableIndex;
  }

  /** Records that the entries after an index were removed from the log. */
  void truncateAfter(long index) {
    durableIndex = Math.min(durableIndex, index);
    List<PendingEntries> clamped = new ArrayList<>();
    for (PendingEntries pending : pendingEntries) {
      clamped.add(new PendingEntries(pending.sequence(), Math.min(pending.lastIndex(), index)));
    }
    pendingEntries.clear();
    pendingEntries.addAll(clamped);
  }

  /** Records that a snapshot replaces all entries. */
  void resetEntries() {
    durableIndex = 0;
    pendingEntries.clear();
  }

  /** Sends a message once all writes requested so far are synced. */
  void sendWhenAllSynced(Effect.Send message, List<Effect> effects) {
    sendWhenSynced(lastIssued, message, effects);
  }

  /** Sends a message once the hard state is synced, even if entries are not synced yet. */
  void sendWhenHardStateSynced(Effect.Send message, List<Effect> effects) {
    sendWhenSynced(lastHardStateSequence, message, effects);
  }

  private void sendWhenSynced(long sequence, Effect.Send message, List<Effect> effects) {
    if (sequence <= lastSynced) {
      effects.add(message);
      return;
    }
    heldMessages.addLast(new HeldMessage(sequence, message));
  }

  /**
   * Records that writes are synced.
   *
   * @param sequence the sequence number of the last synced write
   * @param effects receives the held messages that may be sent now
   */
  void onSynced(long sequence, List<Effect> effects) {
    lastSynced = Math.max(lastSynced, sequence);
    while (!pendingEntries.isEmpty() && pendingEntries.getFirst().sequence() <= lastSynced) {
      durableIndex = Math.max(durableIndex, pendingEntries.removeFirst().lastIndex());
    }
    heldMessages.removeIf(message -> sendIfSynced(message, effects));
  }

  private boolean sendIfSynced(HeldMessage message, List<Effect> effects) {
    if (message.sequence() > lastSynced) {
      return false;
    }
    effects.add(message.send());
    return true;
  }

  private record PendingEntries(long sequence, long lastIndex) {}

  private record HeldMessage(long sequence, Effect.Send send) {}
}
