package org.verbenawheel.membership;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Sets;
import java.time.InstantSource;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.verbenawheel.identity.ProcessId;
import org.verbenawheel.peer.PeerLinks;
import org.verbenawheel.time.MonotonicInstantSource;

/** Builds a {@link MembershipNode}. */
public final class MembershipNodeBuilder {
  private @Nullable ProcessId self;
  private @Nullable PeerLinks links;
  private ImmutableSet<ProcessId> entries = ImmutableSet.of();
  private ImmutableMap<ProcessId, String> announceAddresses = ImmutableMap.of();
  private InstantSource clock = MonotonicInstantSource.startingNow();
  private MembershipTimings timings = MembershipTimings.DEFAULT;
  private boolean asksOnArrival = true;

  MembershipNodeBuilder() {}

  /**
   * Sets this entry's name.
   *
   * @param entry the name that the settings of all processes use for it
   */
  public MembershipNodeBuilder self(ProcessId entry) {
    this.self = entry;
    return this;
  }

  /**
   * Sets the names of all entries of the deployment.
   *
   * @param all may contain this entry
   */
  public MembershipNodeBuilder entries(Set<ProcessId> all) {
    this.entries = ImmutableSet.copyOf(all);
    return this;
  }

  /**
   * Sets where endpoints reach each entry without the load balancer, so that they can send renewals
   * directly to the entry that holds their lease.
   *
   * @param addresses an address such as {@code 10.0.0.1:8080} for each entry; entries may be
   *     missing
   */
  public MembershipNodeBuilder announceAddresses(Map<ProcessId, String> addresses) {
    this.announceAddresses = ImmutableMap.copyOf(addresses);
    return this;
  }

  /**
   * Sets the connections to the other entries.
   *
   * @param peerLinks the process's peer connections; the node must be registered as a handler there
   */
  public MembershipNodeBuilder links(PeerLinks peerLinks) {
    this.links = peerLinks;
    return this;
  }

  /**
   * Sets the clock.
   *
   * @param source must be monotonic
   */
  public MembershipNodeBuilder clock(InstantSource source) {
    this.clock = source;
    return this;
  }

  /**
   * Sets the durations of leases, heartbeats and timeouts.
   *
   * @param membershipTimings must be the same at all entries
   */
  public MembershipNodeBuilder timings(MembershipTimings membershipTimings) {
    this.timings = membershipTimings;
    return this;
  }

  /**
   * Sets whether a starting entry queries the others for their endpoints at once, which is the
   * default, or waits for their next heartbeats.
   *
   * @param asks false to measure how much the queries save
   */
  public MembershipNodeBuilder asksOnArrival(boolean asks) {
    this.asksOnArrival = asks;
    return this;
  }

  /**
   * Builds the node, which is idle until it is started.
   *
   * @throws NullPointerException if this entry's name or the connections were not set
   */
  public MembershipNode build() {
    ProcessId entry = checkNotNull(self, "this entry's name is missing: set it with self()");
    return new MembershipNode(
        new MembershipSettings(
            entry,
            Sets.difference(entries, ImmutableSet.of(entry)).immutableCopy(),
            announceAddresses,
            checkNotNull(links, "the connections are missing: set them with links()"),
            clock,
            timings,
            asksOnArrival));
  }
}
