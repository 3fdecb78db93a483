package org.verbenawheel.membership;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import org.verbenawheel.identity.EndpointId;
import org.verbenawheel.identity.ProcessId;

/**
 * What one entry believes at one moment: the endpoints that may take new work and the entries that
 * answer. Immutable.
 *
 * @param version grows with every change at this entry
 * @param endpoints the endpoints that hold a lease and have not said that they leave
 * @param liveEntries the entries heard of within the heartbeat timeout, this one included
 */
public record MembershipView(
    long version,
    ImmutableMap<EndpointId, EndpointRecord> endpoints,
    ImmutableSet<ProcessId> liveEntries) {
  /** The view of an entry that knows nothing yet. */
  public static final MembershipView EMPTY =
      new MembershipView(0, ImmutableMap.of(), ImmutableSet.of());
}
