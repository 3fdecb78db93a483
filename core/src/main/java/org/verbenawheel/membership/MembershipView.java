package org.verbenawheel.membership;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import org.verbenawheel.identity.EndpointId;
import org.verbenawheel.identity.ProcessId;

/**
 * One entry's snapshot of the membership: the endpoints that may get new work and the entries that
 * respond. Immutable.
 *
 * @param version grows with every change of the view at this entry
 * @param endpoints the endpoints that hold a lease and have not announced their departure
 * @param liveEntries the entries that responded within {@link MembershipTimings#trustTimeout} and
 *     are not stopping; contains this entry, unless it is stopping and others are alive
 */
public record MembershipView(
    long version,
    ImmutableMap<EndpointId, EndpointRecord> endpoints,
    ImmutableSet<ProcessId> liveEntries) {
  /** The view before anything is known about other processes. */
  public static final MembershipView EMPTY =
      new MembershipView(0, ImmutableMap.of(), ImmutableSet.of());
}
