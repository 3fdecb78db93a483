package org.verbenawheel.membership;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.time.Instant;
import java.util.Map;
import java.util.TreeMap;
import org.verbenawheel.identity.EndpointId;
import org.verbenawheel.identity.ProcessId;

/**
 * Builds an entry's view from its own endpoints and the trusted copies of the others', and caches
 * it until a change or the next expiry.
 */
final class ViewCache {
  private final ProcessId self;
  private final OwnSection own;
  private final PeerSections peers;
  private final DepartedEndpoints departed;
  private MembershipView view = MembershipView.EMPTY;
  private Instant validUntil = Instant.MIN;
  private boolean selfExcluded;

  ViewCache(ProcessId self, OwnSection own, PeerSections peers, DepartedEndpoints departed) {
    this.self = self;
    this.own = own;
    this.peers = peers;
    this.departed = departed;
  }

  /** Removes this entry from its own view, unless no other entry is alive. */
  void excludeSelf() {
    selfExcluded = true;
    invalidate();
  }

  /** Discards the cached view because its sources changed. */
  void invalidate() {
    validUntil = Instant.MIN;
  }

  boolean isInvalidated() {
    return validUntil.equals(Instant.MIN);
  }

  /** Returns whether the view must be rebuilt at this instant: invalidated or past an expiry. */
  boolean isStale(Instant now) {
    return !now.isBefore(validUntil);
  }

  /** Returns the view, rebuilt if stale; its version grows only if its contents changed. */
  MembershipView view(Instant now) {
    if (!isStale(now)) {
      return view;
    }
    MembershipView rebuilt = new MembershipView(view.version(), endpoints(now), entries(now));
    if (!rebuilt.equals(view)) {
      view = new MembershipView(view.version() + 1, rebuilt.endpoints(), rebuilt.liveEntries());
    }
    Instant peersEnd = peers.earliestEnd(now).orElse(Instant.MAX);
    validUntil = own.earliestEnd().isBefore(peersEnd) ? own.earliestEnd() : peersEnd;
    return view;
  }

  private ImmutableMap<EndpointId, EndpointRecord> endpoints(Instant now) {
    Map<EndpointId, HeldEndpoint> newest = new TreeMap<>();
    collectNewest(own.contents(), newest);
    peers.trusted(now).forEach(section -> collectNewest(section.contents(), newest));
    ImmutableMap.Builder<EndpointId, EndpointRecord> endpoints = ImmutableMap.builder();
    newest.forEach((id, held) -> endpoints.put(id, held.endpoint()));
    return endpoints.buildOrThrow();
  }

  private void collectNewest(SectionContents contents, Map<EndpointId, HeldEndpoint> newest) {
    for (HeldEndpoint held : contents.endpoints()) {
      if (!departed.contains(held.id(), held.endpoint().incarnation())) {
        newest.merge(
            held.id(),
            held,
            (one, other) -> HeldEndpoint.OLDEST_FIRST.compare(one, other) >= 0 ? one : other);
      }
    }
  }

  private ImmutableSet<ProcessId> entries(Instant now) {
    ImmutableSet<ProcessId> others = ImmutableSet.copyOf(peers.live(now));
    return selfExcluded && !others.isEmpty()
        ? others
        : ImmutableSet.<ProcessId>builder().add(self).addAll(others).build();
  }
}
