package org.verbenawheel.membership;

import com.google.common.collect.ImmutableList;
import java.time.Instant;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.verbenawheel.identity.EndpointId;

/**
 * The endpoints whose lease this entry holds. Only this entry changes them, so a version number
 * orders all changes.
 */
final class OwnSection {
  private final SectionContents contents = new SectionContents();
  private final Map<EndpointId, Lease> leases = new HashMap<>();
  private final Set<EndpointId> unspread = new LinkedHashSet<>();
  private long version;
  private long spreadVersion;
  private Instant earliestEnd = Instant.MAX;

  /** What only the home entry knows of an endpoint. */
  private record Lease(Instant end, long lastSequence, int renewals) {}

  SectionContents contents() {
    return contents;
  }

  long version() {
    return version;
  }

  /** Returns no later than the end of the lease that ends first. */
  Instant earliestEnd() {
    return earliestEnd;
  }

  /** Returns how often the lease of an endpoint was granted or extended here. */
  int renewals(EndpointId id) {
    return Optional.ofNullable(leases.get(id)).map(Lease::renewals).orElse(0);
  }

  /** Grants or extends a lease. */
  void grant(EndpointAnnouncement announcement, Instant end) {
    EndpointRecord endpoint = announcement.endpoint();
    Optional<HeldEndpoint> held = contents.find(endpoint.id());
    Optional<Lease> lease = Optional.ofNullable(leases.get(endpoint.id()));
    boolean sameIncarnation =
        held.filter(old -> old.endpoint().incarnation() == endpoint.incarnation()).isPresent();
    boolean late =
        sameIncarnation
            && lease.filter(old -> old.lastSequence() >= announcement.sequence()).isPresent();
    Instant extended = lease.map(Lease::end).filter(old -> old.isAfter(end)).orElse(end);
    long newest = late ? lease.orElseThrow().lastSequence() : announcement.sequence();
    int renewals = lease.map(Lease::renewals).orElse(0) + 1;
    leases.put(endpoint.id(), new Lease(extended, newest, renewals));
    earliestEnd = earliestEnd.isBefore(extended) ? earliestEnd : extended;
    if (!sameIncarnation || (!late && !held.orElseThrow().endpoint().equals(endpoint))) {
      contents.put(new HeldEndpoint(endpoint, announcement.sequence()));
      changed(endpoint.id());
    }
  }

  /** Drops an endpoint; returns whether it was held. */
  boolean drop(EndpointId id) {
    if (leases.remove(id) == null) {
      return false;
    }
    contents.remove(id);
    changed(id);
    return true;
  }

  /** Drops the endpoints whose lease has ended; returns them. */
  ImmutableList<EndpointId> expire(Instant now) {
    if (now.isBefore(earliestEnd)) {
      return ImmutableList.of();
    }
    ImmutableList<EndpointId> ended =
        leases.entrySet().stream()
            .filter(lease -> !lease.getValue().end().isAfter(now))
            .map(Map.Entry::getKey)
            .collect(ImmutableList.toImmutableList());
    ended.forEach(this::drop);
    earliestEnd =
        leases.values().stream().map(Lease::end).min(Instant::compareTo).orElse(Instant.MAX);
    return ended;
  }

  /** Takes the changes since the last call; empty if there were none. */
  Optional<MembershipMessages.SectionDelta> takeDelta(long incarnation) {
    if (spreadVersion == version) {
      return Optional.empty();
    }
    ImmutableList.Builder<HeldEndpoint> held = ImmutableList.builder();
    ImmutableList.Builder<EndpointId> gone = ImmutableList.builder();
    for (EndpointId id : unspread) {
      contents.find(id).ifPresentOrElse(held::add, () -> gone.add(id));
    }
    MembershipMessages.SectionDelta delta =
        new MembershipMessages.SectionDelta(
            incarnation, spreadVersion, version, held.build(), gone.build());
    unspread.clear();
    spreadVersion = version;
    return Optional.of(delta);
  }

  private void changed(EndpointId id) {
    version++;
    unspread.add(id);
  }
}
