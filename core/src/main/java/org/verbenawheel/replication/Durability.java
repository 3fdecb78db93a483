package org.verbenawheel.replication;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * Tracks which effects on the disk are synced, and holds back the messages that promise them.
 *
 * <p>Every acknowledgement and every vote passes here, so that none leaves before what it promises
 * would outlast a loss of power. Not thread-safe.
 */
final class Durability {
  private final Deque<PendingEntries> pendingEntries = new ArrayDeque<>();
  private final Deque<HeldMessage> held = new ArrayDeque<>();
  private long issued;
  private long synced;
  private long hardStateIssued;
  private long durableIndex;

  Durability(long durableIndex) {
    this.durableIndex = durableIndex;
  }

  /** Returns the number for the next effect on the disk. */
  long nextSequence() {
    issued++;
    return issued;
  }

  /** Returns the number of the last effect on the disk. */
  long lastIssued() {
    return issued;
  }

  /** Returns the number for a write of the hard state. */
  long nextHardStateSequence() {
    hardStateIssued = nextSequence();
    return hardStateIssued;
  }

  /** Returns the number for a write of entries up to an index. */
  long nextEntriesSequence(long lastIndex) {
    long sequence = nextSequence();
    pendingEntries.addLast(new PendingEntries(sequence, lastIndex));
    return sequence;
  }

  /** Returns the last entry that is synced. */
  long durableIndex() {
    return durableIndex;
  }

  /** Notes that the entries after an index are void. */
  void truncateAfter(long index) {
    durableIndex = Math.min(durableIndex, index);
    List<PendingEntries> clamped = new ArrayList<>();
    for (PendingEntries pending : pendingEntries) {
      clamped.add(new PendingEntries(pending.sequence(), Math.min(pending.lastIndex(), index)));
    }
    pendingEntries.clear();
    pendingEntries.addAll(clamped);
  }

  /** Notes that a snapshot takes the place of all entries. */
  void resetEntries() {
    durableIndex = 0;
    pendingEntries.clear();
  }

  /** Sends a message once everything written so far is synced. */
  void sendWhenAllSynced(Effect.Send message, List<Effect> effects) {
    sendWhenSynced(issued, message, effects);
  }

  /** Sends a message once the hard state is synced, whatever entries are still under way. */
  void sendWhenHardStateSynced(Effect.Send message, List<Effect> effects) {
    sendWhenSynced(hardStateIssued, message, effects);
  }

  private void sendWhenSynced(long sequence, Effect.Send message, List<Effect> effects) {
    if (sequence <= synced) {
      effects.add(message);
      return;
    }
    held.addLast(new HeldMessage(sequence, message));
  }

  /**
   * Notes that effects on the disk were synced.
   *
   * @param sequence the last one
   * @param effects takes the messages that may leave now
   */
  void onSynced(long sequence, List<Effect> effects) {
    synced = Math.max(synced, sequence);
    while (!pendingEntries.isEmpty() && pendingEntries.getFirst().sequence() <= synced) {
      durableIndex = Math.max(durableIndex, pendingEntries.removeFirst().lastIndex());
    }
    held.removeIf(message -> release(message, effects));
  }

  private boolean release(HeldMessage message, List<Effect> effects) {
    if (message.sequence() > synced) {
      return false;
    }
    effects.add(message.send());
    return true;
  }

  private record PendingEntries(long sequence, long lastIndex) {}

  private record HeldMessage(long sequence, Effect.Send send) {}
}
