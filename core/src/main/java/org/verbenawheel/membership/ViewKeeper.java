package org.verbenawheel.membership;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.time.Instant;
import java.util.Map;
import java.util.TreeMap;
import org.verbenawheel.identity.EndpointId;
import org.verbenawheel.identity.ProcessId;

/**
 * Makes the view of an entry out of what it holds and what it trusts, and keeps it while it holds.
 */
final class ViewKeeper {
  private final ProcessId self;
  private final OwnSection own;
  private final PeerSections peers;
  private final DepartedEndpoints departed;
  private MembershipView view = MembershipView.EMPTY;
  private Instant validUntil = Instant.MIN;
  private boolean leaving;

  ViewKeeper(ProcessId self, OwnSection own, PeerSections peers, DepartedEndpoints departed) {
    this.self = self;
    this.own = own;
    this.peers = peers;
    this.departed = departed;
  }

  /** Takes this entry out of its own view, unless it is alone in it. */
  void leave() {
    leaving = true;
    invalidate();
  }

  /** Takes the news that something the view is made of has changed. */
  void invalidate() {
    validUntil = Instant.MIN;
  }

  boolean isInvalidated() {
    return validUntil.equals(Instant.MIN);
  }

  /** Returns whether the view must be made anew at this instant. */
  boolean isStale(Instant now) {
    return !now.isBefore(validUntil);
  }

  /** Returns the view; its version grows only if its contents changed. */
  MembershipView view(Instant now) {
    if (!isStale(now)) {
      return view;
    }
    MembershipView present = new MembershipView(view.version(), endpoints(now), entries(now));
    if (!present.equals(view)) {
      view = new MembershipView(view.version() + 1, present.endpoints(), present.liveEntries());
    }
    Instant othersEnd = peers.earliestEnd(now).orElse(Instant.MAX);
    validUntil = own.earliestEnd().isBefore(othersEnd) ? own.earliestEnd() : othersEnd;
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
    for (HeldEndpoint held : contents.all()) {
      if (!departed.has(held.id(), held.endpoint().incarnation())) {
        newest.merge(
            held.id(),
            held,
            (one, other) -> HeldEndpoint.BY_AGE.compare(one, other) >= 0 ? one : other);
      }
    }
  }

  private ImmutableSet<ProcessId> entries(Instant now) {
    ImmutableSet<ProcessId> others = ImmutableSet.copyOf(peers.live(now));
    return leaving && !others.isEmpty()
        ? others
        : ImmutableSet.<ProcessId>builder().add(self).addAll(others).build();
  }
}
