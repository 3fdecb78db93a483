package org.verbenawheel.dispatch;

import java.time.Duration;
import java.time.Instant;
import org.verbenawheel.dispatch.DispatchMessages.HeldSlot;
import org.verbenawheel.routing.SlotLease;

/**
 * Converts between leases, which hold timestamps of this process's clock, and their wire form,
 * which holds durations because another process's clock may differ.
 */
final class HeldSlotConverter {
  private HeldSlotConverter() {}

  /** Returns the wire form of a lease at the given time. */
  static HeldSlot toMessage(SlotLease lease, Instant now) {
    return new HeldSlot(
        lease.key(),
        lease.holder(),
        lease.holderIncarnation(),
        lease.endpoint(),
        lease.endpointIncarnation(),
        lease.route(),
        Duration.between(lease.grantedAt(), now).toMillis(),
        Math.max(0, Duration.between(now, lease.expiresAt()).toMillis()));
  }

  /** Returns the lease that a message received at the given time describes. */
  static SlotLease toLease(HeldSlot slot, Instant now) {
    return new SlotLease(
        slot.key(),
        slot.holder(),
        slot.holderIncarnation(),
        slot.endpoint(),
        slot.endpointIncarnation(),
        slot.route(),
        now.minusMillis(slot.heldMilliseconds()),
        now.plusMillis(slot.holdLeftMilliseconds()));
  }
}
