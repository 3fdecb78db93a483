package org.verbenawheel.membership;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import org.verbenawheel.identity.ProcessId;

/**
 * Identifies one process of this entry, and names the other entries.
 *
 * @param self this entry
 * @param incarnation a random number that differs from that of every earlier process of this entry
 * @param others the other entries
 * @param announceAddresses where endpoints reach each entry directly, for the entries whose address
 *     is known
 */
record MembershipIdentity(
    ProcessId self,
    long incarnation,
    ImmutableSet<ProcessId> others,
    ImmutableMap<ProcessId, String> announceAddresses) {
  /** The number of bits of an incarnation; a stamp counts in the bits below it. */
  static final int INCARNATION_BITS = 40;

  private static final int STAMP_COUNT_BITS = 62 - INCARNATION_BITS;

  /**
   * Returns the start of this process's range of stamps. An earlier process of this entry used the
   * same range only if it drew the same random incarnation.
   */
  long firstStamp() {
    return incarnation << STAMP_COUNT_BITS;
  }
}
