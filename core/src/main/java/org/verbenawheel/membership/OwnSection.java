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
 * The endpoints with a lease at this entry. Only this entry changes them, so a version number
 * orders all changes.
 */
final class OwnSection {
  private final SectionContents contents = new SectionContents();
  private final Map<EndpointId, Lease> leases = new HashMap<>();
  private final Set<EndpointId> unsentChanges = new LinkedHashSet<>();
  private long version;
  private long sentVersion;
  private Instant earliestEnd = Instant.MAX;

  /** The part of an endpoint's state that is not sent to other entries. */
  private record Lease(Instant end, long lastSequence, int renewals) {}

  SectionContents contents() {
    return contents;
  }

  long version() {
    return version;
  }

  /** Returns a lower bound on the end of the lease that ends first. */
  Instant earliestEnd() {
    return earliestEnd;
  }

  /** Returns how many times the lease of an endpoint was granted or renewed here. */
  int renewals(EndpointId id) {
    return Optional.ofNullable(leases.get(id)).map(Lease::renewals).orElse(0);
  }

  /**
   * Grants or renews a lease. A late announcement of the same incarnation, with an older sequence,
   * may prolong the lease but does not change the endpoint.
   */
  void grant(EndpointAnnouncement announcement, Instant end) {
    EndpointRecord endpoint = announcement.endpoint();
    Optional<HeldEndpoint> held = contents.find(endpoint.id());
    Optional<Lease> lease = Optional.ofNullable(leases.get(endpoint.id()));
    boolean sameIncarnation =
        held.filter(old -> old.endpoint().incarnation() == endpoint.incarnation()).isPresent();
    boolean isLate =
        sameIncarnation
            && lease.filter(old -> old.lastSequence() >= announcement.sequence()).isPresent();
    Instant leaseEnd = lease.map(Lease::end).filter(old -> old.isAfter(end)).orElse(end);
    long lastSequence = isLate ? lease.orElseThrow().lastSequence() : announcement.sequence();
    int renewals = lease.map(Lease::renewals).orElse(0) + 1;
    leases.put(endpoint.id(), new Lease(leaseEnd, lastSequence, renewals));
    earliestEnd = earliestEnd.isBefore(leaseEnd) ? earliestEnd : leaseEnd;
    if (!sameIncarnation || (!isLate && !held.orElseThrow().endpoint().equals(endpoint))) {
      contents.put(new HeldEndpoint(endpoint, announcement.sequence()));
      recordChange(endpoint.id());
    }
  }

  /** Drops an endpoint; returns whether it was held. */
  boolean drop(EndpointId id) {
    if (leases.remove(id) == null) {
      return false;
    }
    contents.remove(id);
    recordChange(id);
    return true;
  }

  /** Drops the endpoints whose lease has ended; returns them. */
  ImmutableList<EndpointId> expire(Instant now) {
    if (now.isBefore(earliestEnd)) {
      return ImmutableList.of();
    }
    ImmutableList<EndpointId> expired =
        leases.entrySet().stream()
            .filter(lease -> !lease.getValue().end().isAfter(now))
            .map(Map.Entry::getKey)
            .collect(ImmutableList.toImmutableList());
    expired.forEach(this::drop);
    earliestEnd =
        leases.values().stream().map(Lease::end).min(Instant::compareTo).orElse(Instant.MAX);
    return expired;
  }

  /** Returns the changes since the last call, empty if there were none, and marks them as sent. */
  Optional<MembershipMessages.SectionDelta> takeDelta(long incarnation) {
    if (sentVersion == version) {
      return Optional.empty();
    }
    ImmutableList.Builder<HeldEndpoint> held = ImmutableList.builder();
    ImmutableList.Builder<EndpointId> gone = ImmutableList.builder();
    for (EndpointId id : unsentChanges) {
      contents.find(id).ifPresentOrElse(held::add, () -> gone.add(id));
    }
    MembershipMessages.SectionDelta delta =
        new MembershipMessages.SectionDelta(
            incarnation, sentVersion, version, held.build(), gone.build());
    unsentChanges.clear();
    sentVersion = version;
    return Optional.of(delta);
  }

  private void recordChange(EndpointId id) {
    version++;
    unsentChanges.add(id);
  }
}
