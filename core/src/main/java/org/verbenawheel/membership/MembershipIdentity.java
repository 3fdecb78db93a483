package org.verbenawheel.membership;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import org.verbenawheel.identity.ProcessId;

/**
 * Who this entry is and who the others are.
 *
 * @param self this entry
 * @param incarnation a number that no earlier process of this entry had
 * @param others the other entries
 * @param announceAddresses where endpoints reach each entry directly, as far as it is known
 */
record MembershipIdentity(
    ProcessId self,
    long incarnation,
    ImmutableSet<ProcessId> others,
    ImmutableMap<ProcessId, String> announceAddresses) {
  /** The bits of an incarnation; the rest of a stamp counts. */
  static final int INCARNATION_BITS = 40;

  private static final int STAMP_COUNT_BITS = 62 - INCARNATION_BITS;

  /** Returns a number below which no earlier process of this entry stamped, but by chance. */
  long firstStamp() {
    return incarnation << STAMP_COUNT_BITS;
  }
}
