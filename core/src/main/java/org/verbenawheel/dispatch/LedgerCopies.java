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
 * Stores the ledger copies that other entries' dispatchers send to this entry, for use if one of
 * those entries dies.
 *
 * <p>Live entries report their own slots when they register with a new dispatcher. The slots that
 * the dead dispatcher's own process held are known only from the copy. Not thread-safe.
 */
final class LedgerCopies {
  private final Map<ServiceName, Map<AttemptKey, SlotLease>> leases = new HashMap<>();
  private final Map<ServiceName, Long> sequences = new HashMap<>();

  /** Applies a copy. Returns false if an earlier copy since the last whole one was lost. */
  boolean add(Instant now, LedgerCopy copy) {
    Map<AttemptKey, SlotLease> ofService =
        leases.computeIfAbsent(copy.service(), missing -> new HashMap<>());
    if (copy.whole()) {
      ofService.clear();
    }
    copy.held().forEach(slot -> ofService.put(slot.key(), HeldSlotConverter.toLease(slot, now)));
    copy.ended().forEach(ofService::remove);
    boolean hasChanges = !copy.held().isEmpty() || !copy.ended().isEmpty();
    long expected = sequences.getOrDefault(copy.service(), 0L) + (hasChanges ? 1 : 0);
    boolean isComplete = copy.whole() || copy.sequence() == expected;
    if (isComplete) {
      sequences.put(copy.service(), copy.sequence());
    }
    return isComplete;
  }

  /** Returns the slots of a service that are held according to the copies. */
  ImmutableList<HeldSlot> heldSlots(ServiceName service, Instant now) {
    return leases.getOrDefault(service, Map.of()).values().stream()
        .map(lease -> HeldSlotConverter.toMessage(lease, now))
        .collect(ImmutableList.toImmutableList());
  }

  /** Drops the copies of a service, because this entry is now its dispatcher. */
  void remove(ServiceName service) {
    leases.remove(service);
    sequences.remove(service);
  }

  /** Drops the leases that have expired. */
  void expire(Instant now) {
    leases
        .values()
        .forEach(
            ofService -> ofService.values().removeIf(lease -> !lease.expiresAt().isAfter(now)));
    leases.values().removeIf(Map::isEmpty);
  }
}
