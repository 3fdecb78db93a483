package org.verbenawheel.dispatch;

import com.google.common.collect.ImmutableList;
import java.util.Optional;
import org.verbenawheel.dispatch.DispatchMessages.HeldSlot;
import org.verbenawheel.dispatch.DispatchMessages.LedgerCopy;
import org.verbenawheel.identity.ProcessId;
import org.verbenawheel.identity.ServiceName;
import org.verbenawheel.routing.AttemptKey;

/**
 * Collects what the entry that would become dispatcher next must know, and numbers the copies so
 * that it notices a lost one. Not safe for use by many threads.
 */
final class SuccessorCopy {
  private final ServiceName service;
  private Optional<ProcessId> successor = Optional.empty();
  private ImmutableList.Builder<HeldSlot> held = ImmutableList.builder();
  private ImmutableList.Builder<AttemptKey> ended = ImmutableList.builder();
  private boolean wholeIsDue;
  private boolean repeatNumber;
  private long sequence;

  SuccessorCopy(ServiceName service) {
    this.service = service;
  }

  /** Takes who is next. A new successor gets a whole copy, since it had none until now. */
  void changeSuccessor(Optional<ProcessId> next) {
    if (!next.equals(successor)) {
      successor = next;
      wholeIsDue = true;
    }
  }

  void addHeld(HeldSlot slot) {
    held.add(slot);
  }

  void addEnded(AttemptKey key) {
    ended.add(key);
  }

  /** Makes the next copy a whole one, because the successor missed some. */
  void sendWhole() {
    wholeIsDue = true;
  }

  /** Tells the last number once more if a copy went out lately, in case that one was lost. */
  Optional<DispatchEffect> repeat() {
    if (!repeatNumber) {
      return Optional.empty();
    }
    repeatNumber = false;
    return effectOf(ImmutableList.of(), ImmutableList.of(), false);
  }

  /**
   * Returns the copy to send now, if any.
   *
   * @param whole all slots that are held
   */
  Optional<DispatchEffect> next(Iterable<HeldSlot> whole) {
    ImmutableList<HeldSlot> newlyHeld = held.build();
    ImmutableList<AttemptKey> newlyEnded = ended.build();
    held = ImmutableList.builder();
    ended = ImmutableList.builder();
    boolean sendsWhole = wholeIsDue;
    wholeIsDue = false;
    if (!sendsWhole && newlyHeld.isEmpty() && newlyEnded.isEmpty()) {
      return Optional.empty();
    }
    sequence++;
    repeatNumber = true;
    return sendsWhole
        ? effectOf(ImmutableList.copyOf(whole), ImmutableList.of(), true)
        : effectOf(newlyHeld, newlyEnded, false);
  }

  private Optional<DispatchEffect> effectOf(
      ImmutableList<HeldSlot> nowHeld, ImmutableList<AttemptKey> nowEnded, boolean whole) {
    LedgerCopy copy = new LedgerCopy(service, sequence, whole, nowHeld, nowEnded);
    return successor.map(entry -> new DispatchEffect.Send(entry, copy));
  }
}
