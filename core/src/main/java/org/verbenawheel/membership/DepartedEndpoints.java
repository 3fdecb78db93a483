package org.verbenawheel.membership;

import java.time.Duration;
import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.Map;
import org.verbenawheel.identity.EndpointId;

/**
 * Remembers for a while which incarnation of an endpoint said that it leaves, so that neither a
 * late announcement nor a copy of another entry brings it back.
 */
final class DepartedEndpoints {
  private final Duration memory;
  private final Map<EndpointId, Departure> departures = new LinkedHashMap<>();

  DepartedEndpoints(Duration memory) {
    this.memory = memory;
  }

  private record Departure(long incarnation, Instant forgetAt) {}

  /** Remembers a departure; returns whether it was news. */
  boolean add(EndpointId id, long incarnation, Instant now) {
    boolean news = !has(id, incarnation);
    if (news) {
      departures.remove(id);
      departures.put(id, new Departure(incarnation, now.plus(memory)));
    }
    return news;
  }

  /** Returns whether this incarnation has left. */
  boolean has(EndpointId id, long incarnation) {
    Departure departure = departures.get(id);
    return departure != null && departure.incarnation() >= incarnation;
  }

  /** Forgets departures whose time is over. */
  void expire(Instant now) {
    departures.values().removeIf(departure -> !departure.forgetAt().isAfter(now));
  }
}
