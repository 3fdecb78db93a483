package org.verbenawheel.membership;

import java.time.Duration;
import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.Map;
import org.verbenawheel.identity.EndpointId;

/**
 * Tombstones of endpoint incarnations that left. For as long as a tombstone is kept, neither a late
 * announcement nor an outdated copy from another entry adds the endpoint to the view again.
 */
final class DepartedEndpoints {
  private final Duration retention;
  private final Map<EndpointId, Departure> departures = new LinkedHashMap<>();

  DepartedEndpoints(Duration memory) {
    this.retention = memory;
  }

  private record Departure(long incarnation, Instant expiresAt) {}

  /** Adds a departure; returns false if this or a higher incarnation is already recorded. */
  boolean add(EndpointId id, long incarnation, Instant now) {
    boolean isNew = !contains(id, incarnation);
    if (isNew) {
      departures.remove(id);
      departures.put(id, new Departure(incarnation, now.plus(retention)));
    }
    return isNew;
  }

  /** Returns whether this or a higher incarnation has left. */
  boolean contains(EndpointId id, long incarnation) {
    Departure departure = departures.get(id);
    return departure != null && departure.incarnation() >= incarnation;
  }

  /** Removes departures that are older than the retention. */
  void expire(Instant now) {
    departures.values().removeIf(departure -> !departure.expiresAt().isAfter(now));
  }
}
