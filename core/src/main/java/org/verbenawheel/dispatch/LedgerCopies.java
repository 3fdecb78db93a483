package org.verbenawheel.dispatch;

import com.google.common.collect.ImmutableList;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import org.verbenawheel.dispatch.DispatchMessages.HeldSlot;
import org.verbenawheel.dispatch.DispatchMessages.LedgerCopy;
import org.verbenawheel.identity.ServiceName;
import org.verbenawheel.routing.AttemptKey;
import org.verbenawheel.routing.SlotLease;

/**
 * Keeps what other dispatchers granted, for the moment when one of them dies.
 *
 * <p>Live entries say themselves what they hold. Only a copy knows what the dead dispatcher's own
 * process held. Not safe for use by many threads.
 */
final class LedgerCopies {
  private final Map<ServiceName, Map<AttemptKey, SlotLease>> leases = new HashMap<>();
  private final Map<ServiceName, Long> sequences = new HashMap<>();

  /** Takes a copy. Returns whether none was lost since the last whole one. */
  boolean add(Instant now, LedgerCopy copy) {
    Map<AttemptKey, SlotLease> ofService =
        leases.computeIfAbsent(copy.service(), unknown -> new HashMap<>());
    if (copy.whole()) {
      ofService.clear();
    }
    copy.held().forEach(slot -> ofService.put(slot.key(), HeldSlots.toLease(slot, now)));
    copy.ended().forEach(ofService::remove);
    boolean hasNews = !copy.held().isEmpty() || !copy.ended().isEmpty();
    long expected = sequences.getOrDefault(copy.service(), 0L) + (hasNews ? 1 : 0);
    boolean isComplete = copy.whole() || copy.sequence() == expected;
    if (isComplete) {
      sequences.put(copy.service(), copy.sequence());
    }
    return isComplete;
  }

  /** Returns the slots known to be held at a service. */
  ImmutableList<HeldSlot> of(ServiceName service, Instant now) {
    return leases.getOrDefault(service, Map.of()).values().stream()
        .map(lease -> HeldSlots.of(lease, now))
        .collect(ImmutableList.toImmutableList());
  }

  /** Forgets a service, because this entry dispatches it itself now. */
  void forget(ServiceName service) {
    leases.remove(service);
    sequences.remove(service);
  }

  /** Forgets the leases that have expired. */
  void expire(Instant now) {
    leases
        .values()
        .forEach(
            ofService -> ofService.values().removeIf(lease -> !lease.expiresAt().isAfter(now)));
    leases.values().removeIf(Map::isEmpty);
  }
}
