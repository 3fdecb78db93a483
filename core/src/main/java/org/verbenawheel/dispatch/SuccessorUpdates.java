package org.verbenawheel.dispatch;

import com.google.common.collect.ImmutableList;
import java.util.Optional;
import org.verbenawheel.dispatch.DispatchMessages.HeldSlot;
import org.verbenawheel.dispatch.DispatchMessages.LedgerCopy;
import org.verbenawheel.identity.ProcessId;
import org.verbenawheel.identity.ServiceName;
import org.verbenawheel.routing.AttemptKey;

/**
 * Collects the changes of a dispatcher's ledger for its successor, the entry that is elected if the
 * dispatcher dies. Copies are numbered, so that the successor detects a lost one. Not thread-safe.
 */
final class SuccessorUpdates {
  private final ServiceName service;
  private Optional<ProcessId> successor = Optional.empty();
  private ImmutableList.Builder<HeldSlot> held = ImmutableList.builder();
  private ImmutableList.Builder<AttemptKey> ended = ImmutableList.builder();
  private boolean needsWholeCopy;
  private boolean needsRepeat;
  private long sequence;

  SuccessorUpdates(ServiceName service) {
    this.service = service;
  }

  /** Sets the successor. A new one gets a whole copy first, because it has received none yet. */
  void setSuccessor(Optional<ProcessId> next) {
    if (!next.equals(successor)) {
      successor = next;
      needsWholeCopy = true;
    }
  }

  void addHeld(HeldSlot slot) {
    held.add(slot);
  }

  void addEnded(AttemptKey key) {
    ended.add(key);
  }

  /** Makes the next copy a whole one, because the successor missed an earlier copy. */
  void requireWholeCopy() {
    needsWholeCopy = true;
  }

  /**
   * Returns an empty copy with the last sequence number if a copy was sent since the previous call,
   * so that the successor notices if that one was lost.
   */
  Optional<DispatchEffect> takeRepeat() {
    if (!needsRepeat) {
      return Optional.empty();
    }
    needsRepeat = false;
    return effectOf(ImmutableList.of(), ImmutableList.of(), false);
  }

  /**
   * Returns the copy to send now and clears the collected changes; empty if nothing changed.
   *
   * @param allHeld all held slots, read only if a whole copy is needed
   */
  Optional<DispatchEffect> takeUpdate(Iterable<HeldSlot> allHeld) {
    ImmutableList<HeldSlot> newlyHeld = held.build();
    ImmutableList<AttemptKey> newlyEnded = ended.build();
    held = ImmutableList.builder();
    ended = ImmutableList.builder();
    boolean sendsWhole = needsWholeCopy;
    needsWholeCopy = false;
    if (!sendsWhole && newlyHeld.isEmpty() && newlyEnded.isEmpty()) {
      return Optional.empty();
    }
    sequence++;
    needsRepeat = true;
    return sendsWhole
        ? effectOf(ImmutableList.copyOf(allHeld), ImmutableList.of(), true)
        : effectOf(newlyHeld, newlyEnded, false);
  }

  private Optional<DispatchEffect> effectOf(
      ImmutableList<HeldSlot> nowHeld, ImmutableList<AttemptKey> nowEnded, boolean whole) {
    LedgerCopy copy = new LedgerCopy(service, sequence, whole, nowHeld, nowEnded);
    return successor.map(entry -> new DispatchEffect.Send(entry, copy));
  }
}
