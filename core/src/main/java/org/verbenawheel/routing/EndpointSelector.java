package org.verbenawheel.routing;

import com.google.common.collect.ImmutableSet;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.verbenawheel.identity.AvailabilityZone;
import org.verbenawheel.identity.EndpointId;
import org.verbenawheel.membership.EndpointRecord;

/**
 * Selects the endpoint for an attempt: the one with a free slot and the lowest share of held slots;
 * among equals, one in the availability zone with the fewest held slots.
 */
public final class EndpointSelector {
  private final SlotLedger ledger;

  /**
   * Creates a selector that reads the held slots from a ledger.
   *
   * @param ledger the held slots
   */
  public EndpointSelector(SlotLedger ledger) {
    this.ledger = ledger;
  }

  /**
   * Selects an endpoint; does not hold its slot.
   *
   * @param endpoints the endpoints that may take new work
   * @param avoid endpoints that already failed the request
   * @param accepts a further condition that the endpoint must meet, for example for long work
   * @return the endpoint; empty if none with a free slot qualifies
   */
  public Optional<EndpointRecord> choose(
      Collection<EndpointRecord> endpoints,
      ImmutableSet<EndpointId> avoid,
      Predicate<EndpointRecord> accepts) {
    Map<AvailabilityZone, Integer> heldByZone = heldByZone(endpoints);
    Comparator<EndpointRecord> leastLoaded =
        Comparator.<EndpointRecord>comparingDouble(this::load)
            .thenComparingInt(endpoint -> heldByZone.getOrDefault(endpoint.availabilityZone(), 0))
            .thenComparing(EndpointRecord::id);
    return endpoints.stream()
        .filter(endpoint -> ledger.held(endpoint.id()) < endpoint.slots())
        .filter(endpoint -> !avoid.contains(endpoint.id()))
        .filter(accepts)
        .min(leastLoaded);
  }

  private Map<AvailabilityZone, Integer> heldByZone(Collection<EndpointRecord> endpoints) {
    Map<AvailabilityZone, Integer> heldByZone = new HashMap<>();
    for (EndpointRecord endpoint : endpoints) {
      heldByZone.merge(endpoint.availabilityZone(), ledger.held(endpoint.id()), Integer::sum);
    }
    return heldByZone;
  }

  private double load(EndpointRecord endpoint) {
    return (double) ledger.held(endpoint.id()) / endpoint.slots();
  }
}
