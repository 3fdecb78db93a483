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
   * @param entry as the settings of all processes give it
   */
  public MembershipNodeBuilder self(ProcessId entry) {
    this.self = entry;
    return this;
  }

  /**
   * Sets the names of all entries; this one may be among them.
   *
   * @param all the entries of the deployment
   */
  public MembershipNodeBuilder entries(Set<ProcessId> all) {
    this.entries = ImmutableSet.copyOf(all);
    return this;
  }

  /**
   * Sets where endpoints reach each entry without the balancer, for renewals that go straight home.
   *
   * @param addresses an address such as {@code 10.0.0.1:8080} for each entry; may lack some
   */
  public MembershipNodeBuilder announceAddresses(Map<ProcessId, String> addresses) {
    this.announceAddresses = ImmutableMap.copyOf(addresses);
    return this;
  }

  /**
   * Sets what sends messages to the other entries.
   *
   * @param peerLinks the process's connections; this node must be added there as a handler
   */
  public MembershipNodeBuilder links(PeerLinks peerLinks) {
    this.links = peerLinks;
    return this;
  }

  /**
   * Sets the clock.
   *
   * @param source tells instants that never go back
   */
  public MembershipNodeBuilder clock(InstantSource source) {
    this.clock = source;
    return this;
  }

  /**
   * Sets how leases and heartbeats are timed; must be the same at all entries.
   *
   * @param membershipTimings the timings
   */
  public MembershipNodeBuilder timings(MembershipTimings membershipTimings) {
    this.timings = membershipTimings;
    return this;
  }

  /**
   * Sets whether a starting entry asks the others for their endpoints at once, as it does unless
   * told otherwise, or waits for their next heartbeats.
   *
   * @param asks false to measure what asking is worth
   */
  public MembershipNodeBuilder asksOnArrival(boolean asks) {
    this.asksOnArrival = asks;
    return this;
  }

  /**
   * Builds the node; it does nothing until it is started.
   *
   * @throws NullPointerException if this entry's name or the links were not given
   */
  public MembershipNode build() {
    ProcessId entry = checkNotNull(self, "give this entry's name with self()");
    return new MembershipNode(
        new MembershipSettings(
            entry,
            Sets.difference(entries, ImmutableSet.of(entry)).immutableCopy(),
            announceAddresses,
            checkNotNull(links, "give the connections with links()"),
            clock,
            timings,
            asksOnArrival));
  }
}
