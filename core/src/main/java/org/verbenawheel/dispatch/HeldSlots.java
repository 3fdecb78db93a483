package org.verbenawheel.dispatch;

import java.time.Duration;
import java.time.Instant;
import org.verbenawheel.dispatch.DispatchMessages.HeldSlot;
import org.verbenawheel.routing.SlotLease;

/** Translates slots between moments of this process and lengths that another process can read. */
final class HeldSlots {
  private HeldSlots() {}

  /** Returns a lease as another process reads it. */
  static HeldSlot of(SlotLease lease, Instant now) {
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

  /** Returns a lease of what another process told. */
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
